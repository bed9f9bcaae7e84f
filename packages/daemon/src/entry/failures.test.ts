import { setTimeout as sleep } from 'node:timers/promises';
import { afterEach, describe, it } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { call, type CallResult } from '../testing/callers.js';
import { EntryFixture, type FixtureOptions } from '../testing/EntryFixture.js';
import { NaiveProxy } from '../testing/NaiveProxy.js';
import type { Behaviour } from '../testing/UpstreamStandIn.js';

/** Failures after the request ran. */
const AFTER_RUN: readonly Behaviour[] = [
  { kind: 'reset' },
  { kind: 'garbage' },
  { kind: 'wrongId' },
  { kind: 'closeDelimited' },
  { kind: 'truncate', framing: 'length' },
  { kind: 'truncate', framing: 'chunked' },
];

type Outcome = CallResult | 'cut';

function tryCall(url: string, options: Parameters<typeof call>[1]): Promise<Outcome> {
  return call(url, options).catch(() => 'cut' as const);
}

function isComplete(outcome: Outcome): boolean {
  return outcome !== 'cut' && outcome.status === 200;
}

describe('failing upstreams', () => {
  let fixture: EntryFixture;
  const start = async (options?: FixtureOptions): Promise<void> => {
    fixture = await EntryFixture.start(options);
  };
  const script = (behaviours: readonly Behaviour[]): void => {
    let index = 0;
    const choose = (): Behaviour => {
      index += 1;
      return behaviours[index - 1] ?? { kind: 'answer' };
    };
    fixture.upstreams.forEach((upstream) => Object.assign(upstream, { choose }));
  };

  /** One non-idempotent request for each kind of failure, one after the other. */
  const placeOnceEach = (url: string): Promise<{ runs: number; outcome: Outcome }[]> =>
    AFTER_RUN.reduce<Promise<{ runs: number; outcome: Outcome }[]>>(async (earlier, behaviour) => {
      const results = await earlier;
      script([behaviour]);
      const before = fixture.executions;
      const outcome = await tryCall(`${url}/orders`, { method: 'POST', body: 'one' });
      return [...results, { runs: fixture.executions - before, outcome }];
    }, Promise.resolve([]));

  afterEach(() => fixture.stop());

  it('never run a non-idempotent request twice or make a cut answer look complete', async () => {
    await start({ upstreams: [{}, {}] });
    const results = await placeOnceEach(fixture.url);
    expect(results.map(({ runs }) => runs)).toEqual(AFTER_RUN.map(() => 1));
    expect(results.some(({ outcome }) => isComplete(outcome))).toEqual(false);
    const verdicts = results.flatMap(({ outcome }) => (outcome === 'cut' ? [] : [outcome.verdict]));
    expect(new Set(verdicts)).toEqual(new Set(['may-have-run']));
    expect(fixture.pool.totalOutstanding).toEqual(0);
  });

  it('break the same rules behind a naive proxy', async () => {
    await start({ upstreams: [{}, {}] });
    const naive = new NaiveProxy(fixture.upstreams.map(({ address }) => address));
    await naive.listen();
    const results = await placeOnceEach(naive.url);
    await naive.close();
    expect(results.some(({ runs }) => runs > 1)).toEqual(true);
    const cut = results.filter(({ runs }) => runs === 1);
    expect(cut.some(({ outcome }) => isComplete(outcome))).toEqual(true);
  });

  it('keep at-most-once and true verdicts under every script', async () => {
    await start({ upstreams: [{}, {}, {}] });
    const behaviour = fc.constantFrom<Behaviour>(
      ...AFTER_RUN,
      { kind: 'shed' },
      { kind: 'answer' },
      { kind: 'answer', status: 500 },
      { kind: 'slow', delayMs: 150 },
    );
    const scripts = fc.array(behaviour, { minLength: 1, maxLength: 4 });
    await fc.assert(
      fc.asyncProperty(scripts, fc.boolean(), async (behaviours, isIdempotent) => {
        script(behaviours);
        const before = fixture.executions;
        const request = isIdempotent
          ? { method: 'PUT', path: '/orders/7' }
          : { method: 'POST', path: '/orders' };
        const headers = { 'x-request-timeout-ms': '100' };
        const outcome = await tryCall(fixture.url + request.path, {
          ...request,
          headers,
          body: 'x',
        });
        const runs = fixture.executions - before;
        if (!isIdempotent) expect(runs).toBeLessThanOrEqual(1);
        if (outcome !== 'cut' && outcome.verdict === 'not-run') expect(runs).toEqual(0);
        if (isComplete(outcome)) expect(runs).toBeGreaterThanOrEqual(1);
        expect(fixture.pool.totalOutstanding).toEqual(0);
      }),
      { numRuns: 80 },
    );
    expect(fixture.budgets.consumed).toBeGreaterThanOrEqual(fixture.executions);
  });

  it('that shed a request leave it to another target, also when it is not idempotent', async () => {
    await start({ upstreams: [{}, {}] });
    script([{ kind: 'shed' }]);
    const res = await call(`${fixture.url}/orders`, { method: 'POST', body: 'one' });
    expect(res.status).toEqual(200);
    expect(fixture.executions).toEqual(1);
    expect(fixture.pool.outcomes.map(({ outcome }) => outcome)).toEqual(['shed', 'succeeded']);
  });

  it('get no retry when the retry budget is used up', async () => {
    await start({ upstreams: [{}, {}] });
    fixture.mayRetry = false;
    script([{ kind: 'shed' }]);
    const res = await call(`${fixture.url}/orders/7`);
    expect([res.status, res.problem, res.verdict]).toEqual([503, 'shed', 'not-run']);
    expect(res.headers['retry-after']).toEqual('1');
  });

  it('that cannot be connected to cost no token and no false verdict', async () => {
    await start({ upstreams: [{}, {}] });
    await Promise.all(fixture.upstreams.map((upstream) => upstream.crash()));
    const res = await call(`${fixture.url}/orders`, { method: 'POST', body: 'one' });
    expect([res.status, res.problem, res.verdict]).toEqual([503, 'connectFailed', 'not-run']);
    expect([fixture.budgets.consumed, fixture.budgets.released]).toEqual([0, 1]);
  });

  it('that answer late get their connection destroyed and their answer dropped', async () => {
    await start();
    script([{ kind: 'slow', delayMs: 150 }]);
    const headers = { 'x-request-timeout-ms': '60' };
    const late = await call(`${fixture.url}/orders`, { method: 'POST', body: 'late', headers });
    expect([late.status, late.verdict]).toEqual([504, 'may-have-run']);
    const results = await Promise.all(
      ['a', 'b', 'c'].map((body) => call(`${fixture.url}/orders/7`, { method: 'PUT', body })),
    );
    await sleep(150);
    const echoes = results.map(({ text }) => (JSON.parse(text) as { echo: string }).echo);
    expect(echoes).toEqual(['a', 'b', 'c']);
  });

  it('that answer twice on a connection cannot cross answers when they echo the request id', async () => {
    await start();
    script([{ kind: 'extraAnswer' }]);
    const first = await call(`${fixture.url}/orders`, { method: 'POST', body: 'one' });
    const next = await call(`${fixture.url}/orders`, { method: 'POST', body: 'two' });
    expect(first.status).toEqual(200);
    expect(next.text.includes('second')).toEqual(false);
  });

  it('that crash on a body are visited at most twice, and the fingerprint is reported', async () => {
    await start({ upstreams: Array.from({ length: 4 }, () => ({ crashOn: 'poison' })) });
    const outcome = await tryCall(`${fixture.url}/orders/7`, { method: 'PUT', body: 'poison' });
    expect(isComplete(outcome)).toEqual(false);
    expect(fixture.executions).toEqual(2);
    expect(new Set(fixture.pool.lost.map(({ target }) => target)).size).toEqual(2);
    expect(new Set(fixture.pool.lost.map(({ fingerprint }) => fingerprint)).size).toEqual(1);
    fixture.pool.quarantined.add(fixture.pool.lost[0]!.fingerprint);
    const again = await call(`${fixture.url}/orders/7`, { method: 'PUT', body: 'poison' });
    expect([again.status, again.problem, again.verdict]).toEqual([503, 'quarantined', 'not-run']);
    expect(fixture.executions).toEqual(2);
  });

  it('lose the request when the caller goes away', async () => {
    await start();
    script([{ kind: 'slow', delayMs: 1_000 }]);
    const abort = new AbortController();
    const outcome = tryCall(`${fixture.url}/orders/7`, { signal: abort.signal });
    while (fixture.executions === 0) await sleep(5);
    abort.abort();
    expect(await outcome).toEqual('cut');
    await sleep(100);
    expect(fixture.firstUpstream.cancelled).toEqual(1);
    expect(fixture.pool.outcomes.map(({ outcome: kind }) => kind)).toEqual(['cancelled']);
  });

  it('keep their connections within the share of this entry', async () => {
    await start();
    fixture.pool.maxConnections = 5;
    script(Array.from({ length: 20 }, () => ({ kind: 'slow', delayMs: 20 }) as const));
    await Promise.all(Array.from({ length: 20 }, () => call(`${fixture.url}/orders/7`)));
    expect(fixture.firstUpstream.connections).toEqual(2);
  });
});
