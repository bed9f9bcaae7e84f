/** Guards against requests that are sent after their refusal, and slots that stay unused while requests wait for them. */
import { describe, it } from 'node:test';
import { Random } from '@marigoldbank/base/random';
import { VirtualClock } from '@marigoldbank/base/virtual-clock';
import { MemoryBudget } from '@marigoldbank/daemon/entry/MemoryBudget';
import { NullLogger } from '@marigoldbank/daemon/telemetry/NullLogger';
import { makeRoute, makeTarget } from '@marigoldbank/routing/fixtures';
import { expect } from 'earl';
import { FakeUpstream } from '../testing/FakeUpstream.js';
import { HEADER_NAMES, makeRunRequest, TEST_MEMORY_BYTES } from '../testing/fixtures.js';
import { CapacityExtension } from './CapacityExtension.js';
import { EntryState } from './EntryState.js';
import { HubReporter } from './HubReporter.js';
import { RequestRun } from './RequestRun.js';
import type { RunOutcome } from './run-types.js';

const DURATION_MS = 100;
const OBJECTIVE_MS = 600;
const TIMEOUT_MS = 1_500;

/** How the entry of a test is called. */
interface Entry {
  readonly clock: VirtualClock;
  readonly state: EntryState;
  readonly upstream: FakeUpstream;
  readonly start: (priority: number) => {
    readonly run: RequestRun;
    readonly abort: AbortController;
    /** Time and value of the outcome, once there is one. */
    readonly ended: { at?: number; outcome?: RunOutcome };
  };
}

/** An entry with one target, which has one slot. */
function makeEntry(headers: Record<string, string> = { 'x-seal': 's' }, status = 200): Entry {
  const clock = new VirtualClock();
  const state = new EntryState({ ratio: 0.2, slack: 0, windowMs: 10_000 }, new Random(1), () =>
    clock.now(),
  );
  const extension = new CapacityExtension({ clock, state });
  const reporter = new HubReporter(clock, state, new NullLogger());
  reporter.addExtension(extension);
  state.targets.upsert(makeTarget('t1', { slots: 1 }), 0);
  const upstream = new FakeUpstream({
    clock,
    durationMs: DURATION_MS,
    headersOf: () => headers,
    statusOf: () => status,
  });
  const start: Entry['start'] = (priority) => {
    const abort = new AbortController();
    const now = clock.now();
    const run = new RequestRun(
      {
        clock,
        upstream: upstream.clientOf('e1', HEADER_NAMES.expectedTarget),
        reporter,
        names: HEADER_NAMES,
        memory: new MemoryBudget(TEST_MEMORY_BYTES),
        state,
        dataCentre: 'dc-1',
      },
      {
        ...makeRunRequest(now, false),
        route: makeRoute({ objectiveMs: OBJECTIVE_MS, timeoutMs: TIMEOUT_MS, isIdempotent: false }),
        priority,
        dueAt: now + TIMEOUT_MS,
        receivedAt: now,
        signal: abort.signal,
      },
    );
    const ended: { at?: number; outcome?: RunOutcome } = {};
    run
      .run()
      .then((outcome) => Object.assign(ended, { at: clock.now(), outcome }))
      .catch(() => undefined);
    return { run, abort, ended };
  };
  return { clock, state, upstream, start };
}

describe('EntryCapacity', () => {
  it('hands the slot of an ended request to the most urgent one that waits, at once', async () => {
    const entry = makeEntry();
    entry.start(1);
    await entry.clock.advanceAsync(10);
    const other = entry.start(2);
    const urgent = entry.start(0);
    await entry.clock.advanceAsync(DURATION_MS - 5);
    expect(entry.upstream.arrivals.map(({ at }) => at)).toEqual([0, DURATION_MS]);
    await entry.clock.advanceAsync(2 * DURATION_MS);
    expect(urgent.ended.at!).toBeLessThan(other.ended.at!);
    expect(other.ended.outcome?.kind).toEqual('answered');
  });

  it('sends nothing for a caller that has gone, and for a run that was given up, while they wait', async () => {
    const entry = makeEntry();
    entry.start(1);
    const [gone, stopped] = [entry.start(1), entry.start(1)];
    await entry.clock.advanceAsync(20);
    gone.abort.abort();
    stopped.run.giveUp();
    await entry.clock.advanceAsync(TIMEOUT_MS);
    expect(gone.ended.outcome).toEqual({ kind: 'callerGone' });
    const { outcome } = stopped.ended;
    expect(outcome?.kind === 'refused' && outcome.error.verdict).toEqual('notRun');
    expect(entry.upstream.arrivals.length).toEqual(1);
  });

  it('refuses at once what cannot be answered within its objective, and when others came before it', async () => {
    const entry = makeEntry();
    const runs = Array.from({ length: 8 }, () => entry.start(1));
    await entry.clock.advanceAsync(1);
    const refused = runs.filter(({ ended }) => ended.outcome?.kind === 'refused');
    expect(refused.length).toBeGreaterThan(0);
    const waiting = runs.filter(({ ended }) => ended.outcome === undefined);
    await entry.clock.advanceAsync(TIMEOUT_MS);
    waiting.forEach(({ ended }) => expect(ended.at!).toBeLessThanOrEqual(OBJECTIVE_MS));
    const answered = runs.filter(({ ended }) => ended.outcome?.kind === 'answered');
    expect(entry.upstream.arrivals.length).toEqual(answered.length);
  });

  it('lets callers return soon after a rejection by a target with a free slot', async () => {
    const entry = makeEntry({ 'x-not-run': '1' }, 503);
    const { ended } = entry.start(1);
    await entry.clock.advanceAsync(TIMEOUT_MS);
    const error = ended.outcome?.kind === 'refused' ? ended.outcome.error : undefined;
    expect(error?.kind).toEqual('notSent');
    const returnMs = error !== undefined && 'retryAfterMs' in error ? error.retryAfterMs : Infinity;
    expect(returnMs).toBeLessThan(100);
    expect(returnMs).toBeGreaterThan(0);
  });
});
