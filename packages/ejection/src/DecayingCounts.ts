/** Counts over a window that fades exponentially. */

/** Samples of one reporter, or of all of them, that fade with time. */
export class DecayingCounts {
  public total = 0;

  public bad = 0;

  private updatedAt = 0;

  public constructor(private readonly windowMs: number) {}

  /** Returns the factor by which older samples faded. */
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
