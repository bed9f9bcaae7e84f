/** Counts requests and retries of a service over a sliding window. */

/** Number of time buckets that the window is divided into. */
const BUCKETS = 20;

/** Buckets between the window and the earlier one whose requests may count instead. */
const EARLIER_BUCKETS = BUCKETS / 2;

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
  /**
   * Whether requests that no target got count as well. The bound of the platform then also lets those of the window half its
   * length before count, if they are more.
   */
  readonly countsOffered?: () => boolean;
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
    const retries = this.buckets
      .filter((bucket) => bucket.index >= index - BUCKETS)
      .reduce((sum, bucket) => sum + bucket.retries, furtherRetries);
    const requests = this.earningRequests(index);
    return retries / (this.limits.ratio * requests + this.limits.slack * slackFraction);
  }

  private earningRequests(index: number): number {
    const recent = this.requestsBetween(index - BUCKETS + 1, index);
    if (this.limits.countsOffered?.() !== true) return recent;
    // The newest bucket of the earlier window is partly outside of it.
    const to = index - EARLIER_BUCKETS;
    return Math.max(recent, this.requestsBetween(to - BUCKETS + 1, to - 1));
  }

  private requestsBetween(from: number, to: number): number {
    return this.buckets
      .filter((bucket) => bucket.index >= from && bucket.index <= to)
      .reduce((sum, bucket) => sum + bucket.requests, 0);
  }

  private bucketIndexAt(now: number): number {
    return Math.floor((now * BUCKETS) / this.limits.windowMs);
  }

  private expireBuckets(index: number): void {
    const kept = this.limits.countsOffered?.() === true ? BUCKETS + EARLIER_BUCKETS : BUCKETS;
    while ((this.buckets[0]?.index ?? index) < index - kept) this.buckets.shift();
  }
}
