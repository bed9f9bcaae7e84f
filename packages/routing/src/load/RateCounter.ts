/** Events a second over a sliding window. */

const MS_PER_SECOND = 1_000;

/** Hubs report to each other every 200 ms, so that one report more or less in 2 s is a tenth. */
const WINDOW_MS = 2_000;
const BUCKET_MS = 100;
const BUCKETS = WINDOW_MS / BUCKET_MS;

interface Bucket {
  readonly index: number;
  count: number;
}

export class RateCounter {
  private readonly buckets: Bucket[] = [];

  public add(count: number, now: number): void {
    const index = Math.floor(now / BUCKET_MS);
    const last = this.buckets.at(-1);
    if (last?.index === index) last.count += count;
    else this.buckets.push({ index, count });
    this.expire(index);
  }

  public perSecond(now: number): number {
    this.expire(Math.floor(now / BUCKET_MS));
    const total = this.buckets.reduce((sum, { count }) => sum + count, 0);
    return (total * MS_PER_SECOND) / WINDOW_MS;
  }

  private expire(index: number): void {
    while ((this.buckets[0]?.index ?? index) <= index - BUCKETS) this.buckets.shift();
  }
}
