import { once } from 'node:events';
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { after, describe, it } from 'node:test';
import { SystemClock, delay } from '@marigoldbank/base/clock';
import { MemoryBudget } from '@marigoldbank/daemon/entry/MemoryBudget';
import { NullLogger } from '@marigoldbank/daemon/telemetry/NullLogger';
import { UpstreamClient } from '@marigoldbank/daemon/entry/UpstreamClient';
import { makePlan, makeTarget } from '@marigoldbank/routing/fixtures';
import { diffPlanItems, toPlanItems } from '@marigoldbank/routing/plan-items';
import { expect } from 'earl';
import { HEADER_NAMES, makeRunRequest, TEST_MEMORY_BYTES } from '../testing/fixtures.js';
import { EntryState } from './EntryState.js';
import { HubReporter } from './HubReporter.js';
import { RequestRun } from './RequestRun.js';
import type { RunContext, RunOutcome } from './run-types.js';

const HOST = '127.0.0.1';
const clock = new SystemClock();

interface Fixture {
  readonly ctx: RunContext;
  readonly uses: { requests: number; repeats: number };
}

/** An entry whose retry budget is exhausted. */
function makeEntryWithoutRetries(): Fixture {
  const state = new EntryState({ ratio: 0.2, slack: 0, windowMs: 10_000 });
  const items = toPlanItems(makePlan());
  state.applyPlan(undefined, 1, diffPlanItems(new Map(), items));
  state.setStatus(
    {
      confirmedAgeMs: 0,
      budgetAgeMs: 0,
      entries: 1,
      isLeaderless: false,
      isCutOff: false,
      isStarting: false,
      planVersion: 0,
      trueAt: clock.now(),
    },
    clock.now(),
  );
  state.retryLimiter.setFleetUse('orders', 1, clock.now());
  const reporter = new HubReporter(clock, state, new NullLogger());
  const uses = { requests: 0, repeats: 0 };
  reporter.attach((report) =>
    (report.uses ?? []).forEach((use) => {
      uses.requests += use.requests ?? 0;
      uses.repeats += use.repeats ?? 0;
    }),
  );
  const upstream = new UpstreamClient(clock, {
    requestIdHeader: HEADER_NAMES.requestId,
    requiresEcho: true,
    timeoutHeader: HEADER_NAMES.deadlineMs,
    connectTimeoutMs: 500,
    keepAliveTimeoutMs: 100,
  });
  return {
    ctx: {
      clock,
      upstream,
      reporter,
      memory: new MemoryBudget(TEST_MEMORY_BYTES),
      names: HEADER_NAMES,
      state,
      dataCentre: 'dc-1',
    },
    uses,
  };
}

function run({ ctx }: Fixture, isIdempotent = false): Promise<RunOutcome> {
  return new RequestRun(ctx, makeRunRequest(clock.now(), isIdempotent)).run();
}

function startTarget(status: number, headers: Record<string, string>): Promise<Server> {
  const server = createServer((_req, res) => {
    res.writeHead(status, { 'x-request-id': 'id-1', ...headers });
    res.end('done');
  });
  return new Promise((resolve) => {
    server.listen(0, HOST, () => resolve(server));
  });
}

function addressOf(server: Server): string {
  return `${HOST}:${(server.address() as AddressInfo).port}`;
}

/** An address on which nothing listens. */
async function findClosedAddress(): Promise<string> {
  const server = await startTarget(200, {});
  const address = addressOf(server);
  await new Promise((resolve) => {
    server.close(resolve);
  });
  return address;
}

/** Makes the selection prefer a target. */
function prefer(fixture: Fixture, id: string): void {
  const { state } = fixture.ctx;
  [0, 1, 2].forEach(() => state.targets.observe(id, 'succeeded', clock.now()));
}

describe('RequestRun', () => {
  const closers: (() => void)[] = [];
  after(() => closers.forEach((close) => close()));

  function addTarget(fixture: Fixture, id: string, address: string): void {
    fixture.ctx.state.targets.upsert(makeTarget(id, { address }), clock.now());
  }

  async function makeCase(first: string, good: Server): Promise<Fixture> {
    const fixture = makeEntryWithoutRetries();
    addTarget(fixture, 'first', first);
    addTarget(fixture, 'second', addressOf(good));
    prefer(fixture, 'first');
    closers.push(() => good.close());
    closers.push(() => fixture.ctx.upstream.dispose());
    closers.push(() => fixture.ctx.reporter.dispose());
    return fixture;
  }

  it('tries another target after a refused connection even if the retry budget is exhausted', async () => {
    const good = await startTarget(200, { 'x-seal': 's' });
    const fixture = await makeCase(await findClosedAddress(), good);
    const outcome = await run(fixture);
    fixture.ctx.reporter.flush();
    expect(outcome.kind).toEqual('answered');
    expect(fixture.uses).toEqual({ requests: 1, repeats: 0 });
  });

  it('tries no other target after a refused request if the retry budget is exhausted', async () => {
    const good = await startTarget(200, { 'x-seal': 's' });
    const full = await startTarget(503, { 'x-not-run': '1' });
    closers.push(() => full.close());
    const outcome = await run(await makeCase(addressOf(full), good));
    expect(outcome.kind === 'refused' && outcome.error.kind).toEqual('notSent');
  });

  // Report of other operators: after a lost answer, work that had run was run again, or the caller was told that it had not.
  ['before the head', 'in the body'].forEach((place) => {
    it(`does not send a request that may run once again after its answer was lost ${place}`, async () => {
      const arrivals = { first: 0, second: 0 };
      const lossy = createServer((req, res) => {
        arrivals.first += 1;
        req.resume();
        if (place === 'in the body') {
          res.writeHead(200, { 'x-request-id': 'id-1', 'x-seal': 's', 'content-length': '100' });
          res.write('part');
        }
        setTimeout(() => res.destroy(), 20);
      });
      const good = createServer((_req, res) => {
        arrivals.second += 1;
        res.writeHead(200, { 'x-request-id': 'id-1', 'x-seal': 's' });
        res.end('done');
      });
      await Promise.all(
        [lossy, good].map(async (server) => {
          server.listen(0, HOST);
          await once(server, 'listening');
        }),
      );
      const fixture = await makeCase(addressOf(lossy), good);
      closers.push(() => lossy.close());
      const outcome = await run(fixture);
      expect(arrivals).toEqual({ first: 1, second: 0 });
      expect(outcome.kind === 'refused' && outcome.error.verdict).toEqual('mayHaveRun');
    });
  });

  // Guards against orders that are placed twice: a target that had run one answered 503 by itself, the caller got that status, which
  // says that the request was not run, and sent it again.
  [408, 429, 503].forEach((status) => {
    it(`does not pass on ${status} of a target that may have run a request that may run once`, async () => {
      const target = await startTarget(status, { 'x-seal': 's' });
      const outcome = await run(await makeCase(addressOf(target), target));
      expect(outcome.kind === 'refused' && outcome.error.kind).toEqual('upstreamFailed');
    });

    it(`passes on ${status} of a target for a request that may be repeated`, async () => {
      const target = await startTarget(status, { 'x-seal': 's' });
      const outcome = await run(await makeCase(addressOf(target), target), true);
      expect(outcome.kind === 'answered' && outcome.response.status).toEqual(status);
    });
  });

  // A limit that cannot be read would have counted as the end of the limit.
  ['many', '', '2, 2', '-1', '1e9'].forEach((value) => {
    it(`keeps the limit that a target has named when an answer says "${value}"`, async () => {
      const target = await startTarget(200, { 'x-seal': 's', 'x-rate-limit': value });
      const fixture = await makeCase(addressOf(target), target);
      const { state } = fixture.ctx;
      state.limits.note('first', { perSecond: 1_000, at: clock.now() - 2_000 });
      state.targets.remove('second');
      const kinds: string[] = [];
      for (let i = 0; i < 100 && !kinds.includes('answered'); i += 1) {
        await delay(clock, 5);
        kinds.push((await run(fixture)).kind);
      }
      expect(kinds.at(-1)).toEqual('answered');
      expect(state.limits.waitMs(['first'], clock.now())).toEqual(1);
    });
  });
});
