import { once } from 'node:events';
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { after, describe, it } from 'node:test';
import { SystemClock, delay } from '@marigoldbank/base/clock';
import { MemoryBudget } from '@marigoldbank/daemon/entry/MemoryBudget';
import { NullLogger } from '@marigoldbank/daemon/telemetry/NullLogger';
import { UpstreamClient } from '@marigoldbank/daemon/entry/UpstreamClient';
import { makePlan, makeRoute, makeTarget } from '@marigoldbank/routing/fixtures';
import { diffPlanItems, toPlanItems } from '@marigoldbank/routing/plan-items';
import { expect } from 'earl';
import { HEADER_NAMES, makeRunRequest, TEST_MEMORY_BYTES } from '../testing/fixtures.js';
import { EntryState } from './EntryState.js';
import { HubReporter } from './HubReporter.js';
import { RequestRun } from './RequestRun.js';

const HOST = '127.0.0.1';

/** Time in which a target has to learn that the caller has left. */
const GONE_MS = 500;

const clock = new SystemClock();

interface SilentTarget {
  readonly server: Server;
  arrivals: number;
  /** Requests whose connection was closed. */
  closed: number;
}

/** A target that answers no request. */
async function startSilentTarget(): Promise<SilentTarget> {
  const target: SilentTarget = { server: createServer(), arrivals: 0, closed: 0 };
  target.server.on('request', (req) => {
    target.arrivals += 1;
    req.socket.once('close', () => {
      target.closed += 1;
    });
  });
  target.server.listen(0, HOST);
  await once(target.server, 'listening');
  return target;
}

async function waitUntil(condition: () => boolean, limitMs: number): Promise<void> {
  const end = clock.now() + limitMs;
  while (!condition() && clock.now() < end) await delay(clock, 10);
}

describe('a request that was sent to a second target since the first one is slow', () => {
  const closers: (() => void)[] = [];
  after(() => closers.forEach((close) => close()));

  // Targets went on with work for callers that had left.
  it('ends at both when its caller leaves', async () => {
    const state = new EntryState({ ratio: 0.2, slack: 60, windowMs: 10_000 });
    state.applyPlan(undefined, 1, diffPlanItems(new Map(), toPlanItems(makePlan())));
    const targets = [await startSilentTarget(), await startSilentTarget()];
    targets.forEach(({ server }, i) => {
      const address = `${HOST}:${(server.address() as AddressInfo).port}`;
      state.targets.upsert(makeTarget(`t${i}`, { address }), clock.now());
    });
    const upstream = new UpstreamClient(clock, {
      requestIdHeader: HEADER_NAMES.requestId,
      requiresEcho: true,
      timeoutHeader: HEADER_NAMES.deadlineMs,
      connectTimeoutMs: 500,
      keepAliveTimeoutMs: 100,
    });
    const reporter = new HubReporter(clock, state, new NullLogger());
    closers.push(
      () => upstream.dispose(),
      () => reporter.dispose(),
      ...targets.map(
        ({ server }) =>
          () =>
            server.closeAllConnections(),
      ),
      ...targets.map(
        ({ server }) =>
          () =>
            server.close(),
      ),
    );
    const caller = new AbortController();
    const run = new RequestRun(
      {
        clock,
        upstream,
        reporter,
        memory: new MemoryBudget(TEST_MEMORY_BYTES),
        names: HEADER_NAMES,
        state,
        dataCentre: 'dc-1',
      },
      {
        ...makeRunRequest(clock.now(), true),
        route: makeRoute({ isIdempotent: true, objectiveMs: 100 }),
        signal: caller.signal,
      },
    ).run();
    await waitUntil(() => targets.every(({ arrivals }) => arrivals === 1), 1_500);
    expect(targets.map(({ arrivals }) => arrivals)).toEqual([1, 1]);
    caller.abort();
    expect((await run).kind).toEqual('callerGone');
    await waitUntil(() => targets.every(({ closed }) => closed === 1), GONE_MS);
    expect(targets.map(({ closed }) => closed)).toEqual([1, 1]);
  });
});
