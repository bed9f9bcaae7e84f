/** Times of a planned stop, and which requests an entry may still pass on to a target. */

/** Fractions of the grace period at which each step is due. */

/** New requests are refused: most callers have learned other addresses by then, and a usual request still completes. */
const REFUSE_AT_FRACTION = 0.45;

/** Requests that wait for their body, a token or the first plan are refused. Their answers need time to be delivered. */
const END_WAITS_AT_FRACTION = 0.7;

/** Requests that targets are still working on are answered. The answers of a late event loop have to precede the kill. */
const ANSWER_BY_FRACTION = 0.92;

/** The process ends, also if responses have not been read by their callers. */
const END_AT_FRACTION = 0.95;

export interface PendingRequest {
  readonly isIdempotent: boolean;
  /** Deadline of the final response in monotonic ms. */
  readonly dueAt: number;
  /** Usual duration of such a request in ms. */
  readonly expectedMs: number;
}

export class ShutdownSchedule {
  private startedAt = Infinity;

  private graceMs = 0;

  /** Starts the stop. `graceMs` is the time until the process is killed. */
  public begin(now: number, graceMs: number): void {
    this.startedAt = now;
    this.graceMs = graceMs;
  }

  public get isStopping(): boolean {
    return this.startedAt !== Infinity;
  }

  /** Time in monotonic ms from which new requests are refused. Infinity for this and the other times without a stop. */
  public get refuseAt(): number {
    return this.timeAt(REFUSE_AT_FRACTION);
  }

  public get endWaitsAt(): number {
    return this.timeAt(END_WAITS_AT_FRACTION);
  }

  public get answerBy(): number {
    return this.timeAt(ANSWER_BY_FRACTION);
  }

  public get endAt(): number {
    return this.timeAt(END_AT_FRACTION);
  }

  public isRefusing(now: number): boolean {
    return now >= this.refuseAt;
  }

  /** Deadline of a request that is passed on: its own, or the last moment at which it can be answered. */
  public deadlineOf(dueAt: number): number {
    return Math.min(dueAt, this.answerBy);
  }

  /**
   * Whether a request may be passed on to a target. One that may run once needs its whole time, since its caller cannot
   * repeat it after a failure. For others it is enough that they usually complete.
   */
  public mayPassOn({ isIdempotent, dueAt, expectedMs }: PendingRequest, now: number): boolean {
    return (isIdempotent ? now + expectedMs : dueAt) <= this.answerBy;
  }

  private timeAt(fraction: number): number {
    return this.startedAt + this.graceMs * fraction;
  }
}
