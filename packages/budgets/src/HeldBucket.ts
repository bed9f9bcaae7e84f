/** A bucket that this entry holds, and the time up to which it was updated. */
import type { Placement } from './shares.js';
import { TokenBucket } from './TokenBucket.js';
import type { BudgetView } from './types.js';

/** Token bucket with the time of its last update and the version that the history of views and limits had then. */
export class HeldBucket {
  public readonly bucket: TokenBucket;

  /** Cached rank of this VM among the holders, per view. */
  public readonly placements = new Map<BudgetView, Placement>();

  private version = -1;

  public constructor(
    private syncedAt: number,
    lenderLifetimeMs: number,
  ) {
    this.bucket = new TokenBucket(syncedAt, lenderLifetimeMs);
  }

  /** Records an update to `now`. Returns the time of the previous update and whether the history is unchanged since. */
  public markSynced(version: number, now: number): { from: number; isSameVersion: boolean } {
    const previous = { from: this.syncedAt, isSameVersion: this.version === version };
    this.syncedAt = now;
    this.version = version;
    return previous;
  }
}
