/** Counts requests and retries of a service over a sliding window. */

/** Number of time buckets that the window is divided into. */
const BUCKETS = 20;

interface Bucket {
  index: number;
  requests: number;
  retries: number;
}

/** Limit of retries: `ratio` x requests + `slack` in any window of `windowMs`. */
export interface RetryBudgetLimits {
  readonly ratio: number;
  readonly slack: number;
  readonly windowMs: number;
}

export class RetryWindow {
  private readonly buckets: Bucket[] = [];

  public constructor(private readonly limits: RetryBudgetLimits) {}

  public add(requests: number, retries: number, now: number): void {
    const index = this.bucketIndexAt(now);
    const last = this.buckets.at(-1);
    if (last !== undefined && last.index === index) {
      last.requests += requests;
      last.retries += retries;
      return;
    }
    this.buckets.push({ index, requests, retries });
    this.expireBuckets(index);
  }

  /**
   * Used fraction of a retry budget with `slackFraction` of the slack, `furtherRetries` included; 1 or more when the
   * budget is exhausted.
   */
  public usedFraction(now: number, slackFraction = 1, furtherRetries = 0): number {
    const index = this.bucketIndexAt(now);
    this.expireBuckets(index);
    // The oldest bucket is partly outside of the window. Its retries count, its requests earn nothing.
    const requests = this.buckets
      .filter((bucket) => bucket.index > index - BUCKETS)
      .reduce((sum, bucket) => sum + bucket.requests, 0);
    const retries = this.buckets.reduce((sum, bucket) => sum + bucket.retries, furtherRetries);
    return retries / (this.limits.ratio * requests + this.limits.slack * slackFraction);
  }

  private bucketIndexAt(now: number): number {
    return Math.floor((now * BUCKETS) / this.limits.windowMs);
  }

  private expireBuckets(index: number): void {
    while ((this.buckets[0]?.index ?? index) < index - BUCKETS) this.buckets.shift();
  }
}
