/** Number of events within a sliding window, kept in intervals. Counts up to one interval more than the window. */

const INTERVALS = 10;

export class SlidingCount {
  /** Counts by interval number; at most one more than there are intervals in a window. */
  private readonly counts = new Map<number, number>();

  public constructor(private readonly windowMs: number) {}

  /** Adds events, or removes some of the newest ones if `count` is below 0. */
  public add(count: number, now: number): void {
    const current = this.intervalAt(now);
    this.forget(current);
    if (count >= 0) this.counts.set(current, (this.counts.get(current) ?? 0) + count);
    else this.remove(-count);
  }

  public total(now: number): number {
    this.forget(this.intervalAt(now));
    return [...this.counts.values()].reduce((sum, count) => sum + count, 0);
  }

  /** Milliseconds until the oldest events leave the window, 0 without any. */
  public untilFewer(now: number): number {
    this.forget(this.intervalAt(now));
    if (this.counts.size === 0) return 0;
    const oldest = Math.min(...this.counts.keys());
    return (oldest + INTERVALS + 1) * this.intervalMs - now;
  }

  /** Counts by interval, newest first. */
  public recent(now: number): number[] {
    const current = this.intervalAt(now);
    this.forget(current);
    const oldestAge = current - Math.min(...this.counts.keys(), current);
    return Array.from({ length: oldestAge + 1 }, (_, age) => this.counts.get(current - age) ?? 0);
  }

  /** Adds counts by interval, newest first. */
  public addRecent(recent: readonly number[], now: number): void {
    const current = this.intervalAt(now);
    recent
      .filter((_, age) => age <= INTERVALS)
      .forEach((count, age) =>
        this.counts.set(current - age, (this.counts.get(current - age) ?? 0) + count),
      );
  }

  private get intervalMs(): number {
    return this.windowMs / INTERVALS;
  }

  private intervalAt(now: number): number {
    return Math.floor(now / this.intervalMs);
  }

  private remove(count: number): void {
    const newestFirst = [...this.counts].sort(([a], [b]) => b - a);
    newestFirst.reduce((left, [interval, known]) => {
      const taken = Math.min(left, known);
      if (taken === known) this.counts.delete(interval);
      else this.counts.set(interval, known - taken);
      return left - taken;
    }, count);
  }

  private forget(current: number): void {
    [...this.counts.keys()]
      .filter((interval) => interval < current - INTERVALS)
      .forEach((interval) => this.counts.delete(interval));
  }
}
