import { setTimeout as sleep } from 'node:timers/promises';
import { afterEach, describe, it } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { call, type CallResult } from '../testing/callers.js';
import { EntryFixture, type FixtureOptions } from '../testing/EntryFixture.js';
import { NaiveProxy } from '../testing/NaiveProxy.js';
import type { Behaviour } from '../testing/FakeUpstream.js';

/** Upstream failures that occur after the request ran. */
const FAILURES_AFTER_RUN: readonly Behaviour[] = [
  { kind: 'reset' },
  { kind: 'garbage' },
  { kind: 'wrongId' },
  { kind: 'closeDelimited' },
  { kind: 'truncate', framing: 'length' },
  { kind: 'truncate', framing: 'chunked' },
];

type Outcome = CallResult | 'aborted';

function tryCall(url: string, options: Parameters<typeof call>[1]): Promise<Outcome> {
  return call(url, options).catch(() => 'aborted' as const);
}

function isComplete(outcome: Outcome): boolean {
  return outcome !== 'aborted' && outcome.status === 200;
}

describe('upstream failures', () => {
  let fixture: EntryFixture;
  const start = async (options?: FixtureOptions): Promise<void> => {
    fixture = await EntryFixture.start(options);
  };
  const scriptBehaviours = (behaviours: readonly Behaviour[]): void => {
    let index = 0;
    const choose = (): Behaviour => {
      index += 1;
      return behaviours[index - 1] ?? { kind: 'answer' };
    };
    fixture.upstreams.forEach((upstream) => Object.assign(upstream, { choose }));
  };

  /** Sends one non-idempotent request per kind of failure, one after the other. */
  const sendOnePerFailure = (url: string): Promise<{ runs: number; outcome: Outcome }[]> =>
    FAILURES_AFTER_RUN.reduce<Promise<{ runs: number; outcome: Outcome }[]>>(
      async (earlier, behaviour) => {
        const results = await earlier;
        scriptBehaviours([behaviour]);
        const before = fixture.executions;
        const outcome = await tryCall(`${url}/orders`, { method: 'POST', body: 'one' });
        return [...results, { runs: fixture.executions - before, outcome }];
      },
      Promise.resolve([]),
    );

  afterEach(() => fixture.stop());

  it('never run a non-idempotent request twice or make a truncated response look complete', async () => {
    await start({ upstreams: [{}, {}] });
    const results = await sendOnePerFailure(fixture.url);
    expect(results.map(({ runs }) => runs)).toEqual(FAILURES_AFTER_RUN.map(() => 1));
    expect(results.some(({ outcome }) => isComplete(outcome))).toEqual(false);
    const verdicts = results.flatMap(({ outcome }) =>
      outcome === 'aborted' ? [] : [outcome.verdict],
    );
    expect(new Set(verdicts)).toEqual(new Set(['may-have-run']));
    expect(fixture.pool.totalOutstanding).toEqual(0);
  });

  it('control: a naive proxy runs requests twice and makes truncated responses look complete', async () => {
    await start({ upstreams: [{}, {}] });
    const naive = new NaiveProxy(fixture.upstreams.map(({ address }) => address));
    await naive.listen();
    const results = await sendOnePerFailure(naive.url);
    await naive.close();
    expect(results.some(({ runs }) => runs > 1)).toEqual(true);
    const runOnce = results.filter(({ runs }) => runs === 1);
    expect(runOnce.some(({ outcome }) => isComplete(outcome))).toEqual(true);
  });

  it('keep at-most-once execution and correct verdicts for generated failure sequences', async () => {
    await start({ upstreams: [{}, {}, {}] });
    const behaviour = fc.constantFrom<Behaviour>(
      ...FAILURES_AFTER_RUN,
      { kind: 'shed' },
      { kind: 'answer' },
      { kind: 'answer', status: 500 },
      { kind: 'slow', delayMs: 150 },
    );
    const scripts = fc.array(behaviour, { minLength: 1, maxLength: 4 });
    await fc.assert(
      fc.asyncProperty(scripts, fc.boolean(), async (behaviours, isIdempotent) => {
        scriptBehaviours(behaviours);
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
        if (outcome !== 'aborted' && outcome.verdict === 'not-run') expect(runs).toEqual(0);
        if (isComplete(outcome)) expect(runs).toBeGreaterThanOrEqual(1);
        expect(fixture.pool.totalOutstanding).toEqual(0);
      }),
      { numRuns: 80 },
    );
    expect(fixture.budgets.consumed).toBeGreaterThanOrEqual(fixture.executions);
  });

  it('retry a shed request at another target, even if it is not idempotent', async () => {
    await start({ upstreams: [{}, {}] });
    scriptBehaviours([{ kind: 'shed' }]);
    const res = await call(`${fixture.url}/orders`, { method: 'POST', body: 'one' });
    expect(res.status).toEqual(200);
    expect(fixture.executions).toEqual(1);
    expect(fixture.pool.outcomes.map(({ outcome }) => outcome)).toEqual(['shed', 'succeeded']);
  });

  it('cause no retry when the retry budget is exhausted', async () => {
    await start({ upstreams: [{}, {}] });
    fixture.mayRetry = false;
    scriptBehaviours([{ kind: 'shed' }]);
    const res = await call(`${fixture.url}/orders/7`);
    expect([res.status, res.problem, res.verdict]).toEqual([503, 'shed', 'not-run']);
    expect(res.headers['retry-after']).toEqual('1');
  });

  it('consume no token and are reported as not-run when no connection can be made', async () => {
    await start({ upstreams: [{}, {}] });
    await Promise.all(fixture.upstreams.map((upstream) => upstream.crash()));
    const res = await call(`${fixture.url}/orders`, { method: 'POST', body: 'one' });
    expect([res.status, res.problem, res.verdict]).toEqual([503, 'connectFailed', 'not-run']);
    expect([fixture.budgets.consumed, fixture.budgets.released]).toEqual([0, 1]);
  });

  it('destroy the connection of a late response and discard the response', async () => {
    await start();
    scriptBehaviours([{ kind: 'slow', delayMs: 150 }]);
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

  it('do not deliver an extra response to the next request when the request id is echoed', async () => {
    await start();
    scriptBehaviours([{ kind: 'extraAnswer' }]);
    const first = await call(`${fixture.url}/orders`, { method: 'POST', body: 'one' });
    const next = await call(`${fixture.url}/orders`, { method: 'POST', body: 'two' });
    expect(first.status).toEqual(200);
    expect(next.text.includes('second')).toEqual(false);
  });

  it('crash at most two upstreams with the same request, and report its fingerprint', async () => {
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

  it('cancel the upstream request when the caller disconnects', async () => {
    await start();
    scriptBehaviours([{ kind: 'slow', delayMs: 1_000 }]);
    const abort = new AbortController();
    const outcome = tryCall(`${fixture.url}/orders/7`, { signal: abort.signal });
    while (fixture.executions === 0) await sleep(5);
    abort.abort();
    expect(await outcome).toEqual('aborted');
    await sleep(100);
    expect(fixture.firstUpstream.cancelled).toEqual(1);
    expect(fixture.pool.outcomes.map(({ outcome: kind }) => kind)).toEqual(['cancelled']);
  });

  it('stay within the share of target connections of this entry', async () => {
    await start();
    fixture.pool.maxConnections = 5;
    scriptBehaviours(Array.from({ length: 20 }, () => ({ kind: 'slow', delayMs: 20 }) as const));
    await Promise.all(Array.from({ length: 20 }, () => call(`${fixture.url}/orders/7`)));
    expect(fixture.firstUpstream.connections).toEqual(2);
  });
});
