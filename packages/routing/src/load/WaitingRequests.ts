/**
 * Requests of one entry that wait until a target has a free slot, by service. They are started in the order of their ranks,
 * then of their deadlines, and refused as soon as they are more likely than not too late.
 *
 * Most free slots are known to the entry itself, since one of its requests has ended there: such a slot is used at once. What
 * others report is known to all entries at the same time, so that starts by it are limited to twice the share of the entry.
 */

/** Starts by what others report, as a multiple of the entry's even share of the room. */
const REPORTED_START_FACTOR = 2;

/** How a wait ended: `ended` is for reasons outside of the queue. */
export type WaitOutcome = 'started' | 'refused' | 'ended';

export interface WaitingRequest<T> {
  readonly service: string;
  /** 0 is the most urgent. */
  readonly rank: number;
  /** Deadline in monotonic ms. */
  readonly dueAt: number;
  /** Monotonic ms after which it cannot be answered within its objective. */
  readonly startBy: number;
  /** Starts the request if a target has a free slot, of these if given. Returns whether it was started. */
  readonly tryStart: (targets: readonly T[] | undefined) => boolean;
  /** Called once, when the request has left the queue. */
  readonly onEnd: (outcome: WaitOutcome) => void;
}

/** Requests a millisecond that the entry may start at the targets of a service. */
export type StartRate = (service: string) => number;

export class WaitingRequests<T> {
  private readonly queues = new Map<string, WaitingRequest<T>[]>();

  /** Earliest time of the next start by what others report. */
  private readonly nextStartAt = new Map<string, number>();

  public get size(): number {
    return [...this.queues.values()].reduce((sum, queue) => sum + queue.length, 0);
  }

  /** Number of waiting requests that come before a new one of this rank. */
  public countAhead(service: string, rank: number): number {
    return (this.queues.get(service) ?? []).filter((other) => other.rank <= rank).length;
  }

  public add(req: WaitingRequest<T>): void {
    const queue = this.queues.get(req.service) ?? [];
    this.queues.set(req.service, queue);
    const after = queue.findIndex(
      ({ rank, dueAt }) => rank > req.rank || (rank === req.rank && dueAt > req.dueAt),
    );
    queue.splice(after < 0 ? queue.length : after, 0, req);
  }

  /** Removes a request. Does nothing if it has left the queue already. */
  public remove(req: WaitingRequest<T>, outcome: WaitOutcome): void {
    const queue = this.queues.get(req.service);
    const i = queue?.indexOf(req) ?? -1;
    if (queue === undefined || i < 0) return;
    queue.splice(i, 1);
    if (queue.length === 0) this.queues.delete(req.service);
    req.onEnd(outcome);
  }

  /** Starts the first request of a service, if a target has a free slot; of these targets, if given. */
  public startFirst(service: string, targets?: readonly T[]): boolean {
    const first = this.queues.get(service)?.[0];
    if (first === undefined || !first.tryStart(targets)) return false;
    this.remove(first, 'started');
    return true;
  }

  /** Gives up requests that are too late, and starts some at slots that others report to be free. */
  public update(rateOf: StartRate, now: number): void {
    [...this.queues.keys()].forEach((service) => {
      const perMs = rateOf(service);
      this.refuseLate(service, perMs, now);
      if (now < (this.nextStartAt.get(service) ?? -Infinity)) return;
      if (!this.startFirst(service)) return;
      this.nextStartAt.set(service, now + 1 / (REPORTED_START_FACTOR * perMs));
    });
  }

  /** Whether a request with so many before it is more likely than not started too late. */
  public static isTooLate(ahead: number, startBy: number, perMs: number, now: number): boolean {
    return now + (ahead === 0 ? 0 : ahead / perMs) > startBy;
  }

  private refuseLate(service: string, perMs: number, now: number): void {
    const queue = [...(this.queues.get(service) ?? [])];
    queue.reduce((ahead, req) => {
      if (!WaitingRequests.isTooLate(ahead, req.startBy, perMs, now)) return ahead + 1;
      this.remove(req, 'refused');
      return ahead;
    }, 0);
  }
}
