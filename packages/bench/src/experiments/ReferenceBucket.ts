/** One token bucket for the whole fleet, against which the budgets of the entries are compared. */
export class ReferenceBucket {
  private level: number;

  private refilledAt = 0;

  public constructor(
    private readonly rate: number,
    private readonly burst: number,
  ) {
    this.level = burst;
  }

  /** Refills up to `now` and returns the tokens; negative after more admissions than rate and burst permit. */
  public refill(now: number): number {
    this.level = Math.min(this.burst, this.level + (this.rate * (now - this.refilledAt)) / 1_000);
    this.refilledAt = now;
    return this.level;
  }

  public take(): void {
    this.level -= 1;
  }
}
