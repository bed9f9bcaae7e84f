/** Expected duration of the requests of a route, from answered ones. */

/** Before any answer, a request is expected to take this share of its objective. */
const INITIAL_SHARE = 0.35;

/** Weight of a new duration. */
const WEIGHT = 0.1;

/** A duration counts at most as this multiple of the estimate, so that single long ones do not move it far. */
const MAX_MULTIPLE = 3;

/** Requests that take longer than this multiple of the estimate count as slow. */
const SLOW_MULTIPLE = 3;

export class DurationEstimate {
  private estimateMs: number;

  public constructor(objectiveMs: number) {
    this.estimateMs = objectiveMs * INITIAL_SHARE;
  }

  public get expectedMs(): number {
    return this.estimateMs;
  }

  /** Duration above which a request is slow. */
  public get slowMs(): number {
    return this.estimateMs * SLOW_MULTIPLE;
  }

  public observe(durationMs: number): void {
    const bounded = Math.min(durationMs, this.estimateMs * MAX_MULTIPLE);
    this.estimateMs += WEIGHT * (bounded - this.estimateMs);
  }
}
