/** Start-time fair queue over teams. */
import type { Clock } from '@marigoldbank/base/clock';
import { toDisposable, type IDisposable } from '@marigoldbank/base/lifecycle';
import { LengthIndex } from './LengthIndex.js';
import { TagHeap } from './TagHeap.js';
import type { AcquireRequest, AdmissionOutcome, IFairQueue, Permit } from './types.js';
import { WaitList, type Waiter } from './WaitList.js';

export interface FairQueueOptions<T extends Permit, R extends AcquireRequest = AcquireRequest> {
  readonly clock: Clock;
  /** Returns a permit for this request, or undefined while there is no capacity for it. */
  readonly tryAcquire: (req: R) => T | undefined;
  /** Maximum number of waiting requests of all teams together. */
  readonly maxWaiting: number;
  readonly maxWaitingPerTeam: number;
  /** Relative share of a team under contention, 1 by default. */
  readonly weightOf?: (team: string) => number;
}

/**
 * If there are more tags of idle teams than this plus two per team with waiting requests, obsolete ones are dropped,
 * and then all if more than this are left. A team whose tag is dropped is served at most one request too early.
 */
const MAX_IDLE_TAGS = 1_024;

/**
 * Serves the team with the smallest start tag. Each request advances its team's tag by 1 / weight, so that backlogged
 * teams are served in proportion to their weights and a team that was idle starts at the current virtual time. When
 * the queue is full, a request of a shorter team queue displaces the newest request of the longest one.
 */
export class FairQueue<T extends Permit, R extends AcquireRequest = AcquireRequest>
  implements IFairQueue<T, R>, IDisposable
{
  /** Teams with waiting requests. */
  private readonly lists = new Map<string, WaitList<T, R>>();

  private readonly heap = new TagHeap<WaitList<T, R>>();

  private readonly lengths = new LengthIndex<WaitList<T, R>>();

  /** Tags of teams without waiting requests that are still ahead of the virtual time. */
  private readonly idleTags = new Map<string, number>();

  private virtualTime = 0;

  private waitingCount = 0;

  private lastOrder = 0;

  private isServing = false;

  private isDisposed = false;

  public constructor(private readonly options: FairQueueOptions<T, R>) {}

  public acquire(req: R): Promise<AdmissionOutcome<T>> {
    return new Promise((resolve) => {
      this.enqueue(req, resolve);
    });
  }

  /**
   * As `acquire`, with a callback that is called once, synchronously if the outcome is known at once. Disposing the
   * result cancels the request.
   */
  public enqueue(req: R, onOutcome: (outcome: AdmissionOutcome<T>) => void): IDisposable {
    const now = this.options.clock.now();
    const immediate = this.decideImmediately(req, now);
    if (immediate !== undefined) {
      onOutcome(immediate);
      return toDisposable(() => undefined);
    }
    const waiter = this.addWaiter(req, now, onOutcome);
    return toDisposable(() => this.settle(waiter, { kind: 'cancelled' }));
  }

  public wake(): void {
    // A permit that is disposed of while it is handed out calls wake() from within this loop.
    if (this.isServing) return;
    this.isServing = true;
    try {
      while (this.serveFirst());
    } finally {
      this.isServing = false;
    }
  }

  public get waiting(): number {
    return this.waitingCount;
  }

  public dispose(): void {
    this.isDisposed = true;
    while (this.heap.first?.first !== undefined) {
      this.settle(this.heap.first.first, { kind: 'cancelled' });
    }
  }

  private decideImmediately(req: R, now: number): AdmissionOutcome<T> | undefined {
    if (this.isDisposed || req.signal?.aborted === true) return { kind: 'cancelled' };
    if (now >= req.deadlineAt) return { kind: 'timedOut' };
    if (this.waitingCount === 0) {
      const permit = this.options.tryAcquire(req);
      if (permit !== undefined) {
        this.charge(req.team, this.tagOf(req.team));
        return { kind: 'admitted', permit, waitedMs: 0 };
      }
    }
    return this.makeRoom(req.team) ? undefined : { kind: 'queueFull' };
  }

  /** Returns whether the team may add a request; refuses the newest request of the longest queue if that is needed. */
  private makeRoom(team: string): boolean {
    const own = this.lists.get(team)?.length ?? 0;
    if (own >= this.options.maxWaitingPerTeam) return false;
    if (this.waitingCount < this.options.maxWaiting) return true;
    const { longest } = this.lengths;
    if (longest?.last === undefined || longest.length <= own + 1) return false;
    this.settle(longest.last, { kind: 'queueFull' });
    return true;
  }

  private addWaiter(
    req: R,
    now: number,
    onOutcome: (outcome: AdmissionOutcome<T>) => void,
  ): Waiter<T, R> {
    const list = this.listOf(req.team);
    const waiter: Waiter<T, R> = {
      req,
      enqueuedAt: now,
      deadlineAt: req.deadlineAt,
      list,
      onOutcome,
      cleanup: undefined,
      previous: undefined,
      next: undefined,
    };
    list.push(waiter);
    this.waitingCount += 1;
    this.lengths.update(list, 1);
    if (list.heapIndex < 0) this.heap.add(list);
    waiter.cleanup = this.watchDeadlineAndSignal(waiter);
    return waiter;
  }

  private watchDeadlineAndSignal(waiter: Waiter<T, R>): IDisposable {
    const { clock } = this.options;
    const { signal, deadlineAt } = waiter.req;
    const timer = clock.setTimeout(
      () => this.settle(waiter, { kind: 'timedOut' }),
      deadlineAt - waiter.enqueuedAt,
    );
    if (signal === undefined) return timer;
    const onAbort = (): void => this.settle(waiter, { kind: 'cancelled' });
    signal.addEventListener('abort', onAbort, { once: true });
    return toDisposable(() => {
      timer.dispose();
      signal.removeEventListener('abort', onAbort);
    });
  }

  private listOf(team: string): WaitList<T, R> {
    let list = this.lists.get(team);
    if (list === undefined) {
      this.lastOrder += 1;
      list = new WaitList<T, R>(team, this.lastOrder);
      list.setStartTag(this.tagOf(team));
      this.lists.set(team, list);
    }
    return list;
  }

  /** Removes a request from the queue and reports its outcome. Does nothing if it has been settled already. */
  private settle(waiter: Waiter<T, R>, outcome: AdmissionOutcome<T>): void {
    if (waiter.cleanup === undefined) return;
    waiter.cleanup.dispose();
    Object.assign(waiter, { cleanup: undefined });
    const { list } = waiter;
    list.remove(waiter);
    this.waitingCount -= 1;
    this.lengths.update(list, -1);
    if (list.length === 0) {
      this.heap.remove(list);
      this.lists.delete(list.team);
      this.storeIdleTag(list.team, list.startTag);
    }
    waiter.onOutcome(outcome);
  }

  private serveFirst(): boolean {
    const list = this.heap.first;
    const waiter = list?.first;
    if (list === undefined || waiter === undefined) return false;
    const now = this.options.clock.now();
    if (now >= waiter.deadlineAt) {
      this.settle(waiter, { kind: 'timedOut' });
      return true;
    }
    const permit = this.options.tryAcquire(waiter.req);
    if (permit === undefined) return false;
    this.virtualTime = Math.max(this.virtualTime, list.startTag);
    list.setStartTag(list.startTag + this.costOf(list.team));
    this.heap.update(list);
    this.settle(waiter, { kind: 'admitted', permit, waitedMs: now - waiter.enqueuedAt });
    return true;
  }

  private costOf(team: string): number {
    return 1 / (this.options.weightOf?.(team) ?? 1);
  }

  private tagOf(team: string): number {
    return Math.max(this.virtualTime, this.idleTags.get(team) ?? 0);
  }

  /** Advances the tag for a request served without waiting; otherwise the team could be served twice in a row. */
  private charge(team: string, tag: number): void {
    this.virtualTime = Math.max(this.virtualTime, tag);
    this.storeIdleTag(team, tag + this.costOf(team));
  }

  private storeIdleTag(team: string, tag: number): void {
    if (tag <= this.virtualTime) {
      this.idleTags.delete(team);
      return;
    }
    this.idleTags.set(team, tag);
    if (this.idleTags.size <= 2 * this.lists.size + MAX_IDLE_TAGS) return;
    [...this.idleTags]
      .filter(([, other]) => other <= this.virtualTime)
      .forEach(([other]) => this.idleTags.delete(other));
    if (this.idleTags.size > MAX_IDLE_TAGS) this.idleTags.clear();
  }
}
