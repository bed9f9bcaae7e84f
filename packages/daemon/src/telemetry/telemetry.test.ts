import { afterEach, describe, it } from 'node:test';
import { expect } from 'earl';
import { call } from '../testing/callers.js';
import { EntryFixture, TEST_SECRET } from '../testing/EntryFixture.js';
import { LabelCardinalityLimiter } from './LabelCardinalityLimiter.js';
import { Metrics } from './Metrics.js';
import { RoarrLogger, setLogWriter } from './RoarrLogger.js';

interface Line {
  readonly message: string;
  readonly context: Readonly<Record<string, unknown>>;
}

describe('logs', () => {
  const lines: string[] = [];
  const read = (): Line[] => lines.map((line) => JSON.parse(line) as Line);

  afterEach(() => {
    setLogWriter(() => undefined);
    lines.length = 0;
  });

  it('drop lines below the level and keep percent signs', () => {
    setLogWriter((line) => lines.push(line));
    const logger = new RoarrLogger('warn').child({ vm: 'e1' });
    logger.info('hidden');
    logger.warn('100%s full', { disk: 'a', unset: undefined });
    expect(read().map(({ message }) => message)).toEqual(['100%s full']);
    const { vm, disk, unset } = read()[0]!.context;
    expect([vm, disk, unset]).toEqual(['e1', 'a', undefined]);
  });

  it('hold one line per request, without its API key', async () => {
    setLogWriter((line) => lines.push(line));
    const fixture = await EntryFixture.start({ logger: new RoarrLogger('info') });
    await call(`${fixture.url}/orders/7`);
    await call(`${fixture.url}/orders/7`, { key: `mb_asters01_${'b'.repeat(43)}` });
    await call(`${fixture.url}/orders/${TEST_SECRET}/x`);
    await fixture.stop();
    const facts = read().map(({ context }) => [
      context.team,
      context.route,
      context.upstream,
      context.status,
      context.verdict,
      context.reason,
    ]);
    expect(facts).toEqual([
      ['asters', 'check', 't0', 200, 'ran', 'answered'],
      [undefined, undefined, undefined, 401, 'not-run', 'unauthenticated'],
      [undefined, undefined, undefined, 404, 'not-run', 'notFound'],
    ]);
    expect(lines.join('').includes(TEST_SECRET)).toEqual(false);
    expect(lines.join('').includes('b'.repeat(43))).toEqual(false);
  });
});

describe('metrics', () => {
  it('count requests by outcome and measure the added latency', async () => {
    const fixture = await EntryFixture.start();
    fixture.firstUpstream.choose = () => ({ kind: 'slow', delayMs: 100 });
    await call(`${fixture.url}/orders/7`);
    await call(`${fixture.url}/nothing`);
    await fixture.stop();
    const text = await fixture.metrics.registry.metrics();
    const expected = [
      'marigoldbank_requests_total{service="orders",outcome="answered"} 1',
      'marigoldbank_requests_total{service="none",outcome="notFound"} 1',
      'marigoldbank_upstream_attempts_total{service="orders",outcome="succeeded"} 1',
      'marigoldbank_added_latency_seconds_count{service="orders"} 1',
      'marigoldbank_added_latency_seconds_bucket{le="0.1",service="orders"} 1',
      'marigoldbank_requests_in_flight 0',
    ];
    expect(expected.filter((line) => !text.includes(line))).toEqual([]);
  });

  it('stay bounded when labels keep getting new values', async () => {
    const limiter = new LabelCardinalityLimiter(2);
    expect(['a', 'b', 'c', 'a', 'd'].map((value) => limiter.limit(value))).toEqual([
      'a',
      'b',
      'other',
      'a',
      'other',
    ]);
    const metrics = new Metrics();
    Array.from({ length: 1_000 }, (_, i) => `team${i}`).forEach((team) => {
      metrics.requestStarted();
      metrics.requestEnded({
        service: team,
        team,
        outcome: 'answered',
        durationMs: 1,
        addedMs: undefined,
      });
    });
    const text = await metrics.registry.metrics();
    const teamLines = text.split('\n').filter((line) => line.includes('team_requests_total{'));
    expect(teamLines.length).toEqual(101);
  });
});
