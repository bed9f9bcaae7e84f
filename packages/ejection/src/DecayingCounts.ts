/** Counts of samples that decay exponentially. */

/** Total and bad samples of one reporter, or of all of them, weighted by their age. */
export class DecayingCounts {
  public total = 0;

  public bad = 0;

  private updatedAt = 0;

  public constructor(private readonly windowMs: number) {}

  /** Applies the decay up to `now` and returns its factor. */
  public decay(now: number): number {
    const factor = Math.exp((this.updatedAt - now) / this.windowMs);
    this.updatedAt = now;
    this.total *= factor;
    this.bad *= factor;
    return factor;
  }

  public add(total: number, bad: number): void {
    this.total += total;
    this.bad += bad;
  }

  public get badRate(): number {
    return this.total > 0 ? this.bad / this.total : 0;
  }
}
