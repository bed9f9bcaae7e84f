/** Reference for budgets. */

/** Exact bucket over the whole fleet. */
export class ExactBucket {
  private level: number;

  private at = 0;

  public constructor(
    private readonly rate: number,
    private readonly burst: number,
  ) {
    this.level = burst;
  }

  /** Tokens at `now`; negative after more admissions than rate and burst permit. */
  public tokens(now: number): number {
    this.level = Math.min(this.burst, this.level + (this.rate * (now - this.at)) / 1_000);
    this.at = now;
    return this.level;
  }

  public take(): void {
    this.level -= 1;
  }
}
