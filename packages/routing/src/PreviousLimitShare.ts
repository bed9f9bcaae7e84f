/** The share of a limit as decided before the rates of cold targets, for comparisons in tests. */
import type { Random } from '@marigoldbank/base/random';

const USABLE_FRACTION = 0.6;
const MIN_PER_SECOND = 0.15;
const KEPT_SECONDS = 0.5;
const KEPT_REQUESTS = 1;
const MS_PER_SECOND = 1_000;

export class PreviousLimitShare {
  private level = 0;

  private capacity = 0;

  private perSecond = 0;

  public constructor(
    private readonly random: Random,
    limit: number,
    entryCount: number,
    private updatedAt: number,
  ) {
    this.configure(limit, entryCount, updatedAt);
    this.level = random.float() * this.capacity;
  }

  public configure(limit: number, entryCount: number, now: number): void {
    this.refill(now);
    const usable = USABLE_FRACTION * Math.max(MIN_PER_SECOND, limit);
    const count = Math.max(1, entryCount);
    this.perSecond = usable / count;
    this.capacity = Math.min(1, (usable * KEPT_SECONDS + KEPT_REQUESTS) / count);
    this.level = Math.min(this.level, this.capacity);
  }

  public admits(now: number): boolean {
    this.refill(now);
    if (this.random.chance(this.level)) return true;
    this.level = 0;
    return false;
  }

  public spend(now: number): void {
    this.refill(now);
    this.level = 0;
  }

  private refill(now: number): void {
    const gained = (this.perSecond * Math.max(0, now - this.updatedAt)) / MS_PER_SECOND;
    this.level = Math.min(this.capacity, this.level + gained);
    this.updatedAt = Math.max(this.updatedAt, now);
  }
}
