/** Token bucket of the baseline limiters. */
import type { Clock } from '@marigoldbank/base/clock';
import type { TeamLimit } from '../types.js';

/** Plain token bucket that starts full. */
export class PlainBucket {
  private tokens: number;

  private accruedAt: number;

  public constructor(
    private readonly limit: TeamLimit,
    private readonly clock: Clock,
  ) {
    this.tokens = limit.burst;
    this.accruedAt = clock.now();
  }

  public take(): boolean {
    const now = this.clock.now();
    const accrued = ((now - this.accruedAt) * this.limit.rate) / 1_000;
    this.tokens = Math.min(this.limit.burst, this.tokens + accrued);
    this.accruedAt = now;
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }

  public get retryAfterMs(): number {
    return Math.max(1, Math.ceil(((1 - this.tokens) * 1_000) / this.limit.rate));
  }

  public get remaining(): number {
    return Math.floor(this.tokens);
  }
}
