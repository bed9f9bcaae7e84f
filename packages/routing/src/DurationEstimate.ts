/** Estimate of the duration of a route's requests: an exponential moving average over answered requests. */

/** Initial estimate as a fraction of the latency objective. */
const INITIAL_OBJECTIVE_FRACTION = 0.35;

/** Weight of a new sample. */
const SMOOTHING_FACTOR = 0.1;

/** Samples are capped at this multiple of the estimate, so that outliers do not move it far. */
const MAX_SAMPLE_MULTIPLE = 3;

/** Requests that take longer than this multiple of the estimate are slow. */
const SLOW_MULTIPLE = 3;

export class DurationEstimate {
  private estimateMs: number;

  public constructor(objectiveMs: number) {
    this.estimateMs = objectiveMs * INITIAL_OBJECTIVE_FRACTION;
  }

  public get expectedMs(): number {
    return this.estimateMs;
  }

  /** Duration above which a request counts as slow. */
  public get slowThresholdMs(): number {
    return this.estimateMs * SLOW_MULTIPLE;
  }

  public observe(durationMs: number): void {
    const bounded = Math.min(durationMs, this.estimateMs * MAX_SAMPLE_MULTIPLE);
    this.estimateMs += SMOOTHING_FACTOR * (bounded - this.estimateMs);
  }
}
