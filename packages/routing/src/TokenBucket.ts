/** Token bucket that refills at a constant rate. `charge` and `reserve` may drive its level below 0. */

const MS_PER_SECOND = 1_000;

export class TokenBucket {
  public constructor(
    private ratePerSecond: number,
    private burst: number,
    private level: number,
    private updatedAt: number,
  ) {}

  /** Changes rate and burst. Keeps the level, capped at the new burst. */
  public configure(ratePerSecond: number, burst: number, now: number): void {
    this.refill(now);
    this.ratePerSecond = ratePerSecond;
    this.burst = burst;
    this.level = Math.min(this.level, burst);
  }

  /** Takes one token if one is available. */
  public tryTake(now: number): boolean {
    this.refill(now);
    if (this.level < 1) return false;
    this.level -= 1;
    return true;
  }

  /** Takes up to `count` whole tokens, and up to `ahead` more, of which half are left to others. Returns how many were taken. */
  public takeUpTo(count: number, ahead: number, now: number): number {
    this.refill(now);
    const available = Math.max(0, Math.floor(this.level));
    const needed = Math.min(count, available);
    const taken = needed + Math.min(ahead, Math.floor((available - needed) / 2));
    this.level -= taken;
    return taken;
  }

  /** Takes one token if it is available within `maxWaitMs`. Returns the wait in ms, or undefined if it is longer. */
  public reserve(maxWaitMs: number, now: number): number | undefined {
    const waitMs = this.waitMs(now);
    if (waitMs > maxWaitMs) return undefined;
    this.level -= 1;
    return waitMs;
  }

  /** Deducts tokens that were already used, even if there are not enough. A number below 0 returns some, up to the burst. */
  public charge(tokens: number, now: number): void {
    this.refill(now);
    this.level = Math.min(this.burst, this.level - tokens);
  }

  /** Milliseconds until a token is available. */
  public waitMs(now: number): number {
    this.refill(now);
    return Math.max(0, Math.ceil(((1 - this.level) / this.ratePerSecond) * MS_PER_SECOND));
  }

  /** Level as a fraction of the burst. */
  public fillFraction(now: number): number {
    this.refill(now);
    return this.level / this.burst;
  }

  private refill(now: number): void {
    const gained = (this.ratePerSecond * Math.max(0, now - this.updatedAt)) / MS_PER_SECOND;
    this.level = Math.min(this.burst, this.level + gained);
    this.updatedAt = now;
  }
}
