/** Wait of a request for the first plan. It arrives soon after the start of the entry, and callers may have no attempt left. */
import type { Clock } from '@marigoldbank/base/clock';
import { DisposableStore } from '@marigoldbank/base/lifecycle';
import type { EntryState } from './EntryState.js';

/** Maximum wait for the first plan. The start of the control VMs and an election take less than two seconds. */
const MAX_PLAN_WAIT_MS = 2_000;

/** Minimum time from the start of an entry to its first plan if the control VMs have just started as well. */
const MIN_ELECTION_PLAN_MS = 1_200;

/** Maximum wait for the first plan as a fraction of the deadline. The rest must suffice for the request itself. */
const PLAN_WAIT_FRACTION = 0.6;

export class PlanWait {
  private readonly startedAt: number;

  public constructor(
    private readonly clock: Clock,
    private readonly state: EntryState,
  ) {
    this.startedAt = clock.now();
  }

  /** Resolves with the first plan, when the wait would take too long for the deadline, or when the signal aborts. */
  public async wait(deadlineMs: number, signal: AbortSignal): Promise<void> {
    const { state, clock } = this;
    const waitMs = Math.min(MAX_PLAN_WAIT_MS, deadlineMs * PLAN_WAIT_FRACTION);
    const now = clock.now();
    const hasLeader = state.isFollowingHub(now) && !state.isLeaderless;
    // Without a leader the plan arrives only after an election, so that a shorter wait would not help.
    if (!hasLeader && now + waitMs < this.startedAt + MIN_ELECTION_PLAN_MS) return;
    const waiting = new DisposableStore();
    await new Promise<void>((resolve) => {
      const done = (): void => resolve();
      waiting.add(clock.setTimeout(done, waitMs));
      waiting.add(state.onDidChangePlan(done));
      signal.addEventListener('abort', done, { once: true });
      waiting.add({ dispose: () => signal.removeEventListener('abort', done) });
    });
    waiting.dispose();
  }
}
