/**
 * Share of one entry in the rate that a target takes from all entries together. An even share is often far below one
 * request, so a request is admitted with a probability: the expected number of requests of all entries follows the rate,
 * without messages between them, also while they are partitioned.
 */
import type { Random } from '@marigoldbank/base/random';
import { namedRate, type SharedRate } from './sharedRate.js';

const MS_PER_SECOND = 1_000;

export class LimitShare {
  /** Probability with which the next request is admitted. */
  private level = 0;

  private capacity = 0;

  private perSecond = 0;

  /** Starts at a random level, so that entries which learn of the limit together do not admit their requests together. */
  public constructor(
    private readonly random: Random,
    limit: number | SharedRate,
    entryCount: number,
    private updatedAt: number,
  ) {
    this.configure(limit, entryCount, updatedAt);
    this.level = random.float() * this.capacity;
  }

  /**
   * Sets the limit that the target names, in requests a second, or what is used of its limits, and the number of entries
   * that share it.
   */
  public configure(limit: number | SharedRate, entryCount: number, now: number): void {
    this.refill(now);
    const { perSecond, kept } = typeof limit === 'number' ? namedRate(limit) : limit;
    const count = Math.max(1, entryCount);
    this.perSecond = perSecond / count;
    this.capacity = Math.min(1, kept / count);
    this.level = Math.min(this.level, this.capacity);
  }

  /** Decides whether a request may be sent to the target. A request that may not uses up the share until now as well. */
  public admits(now: number): boolean {
    this.refill(now);
    if (this.random.chance(this.level)) return true;
    this.level = 0;
    return false;
  }

  /** Records that a request is sent. */
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
