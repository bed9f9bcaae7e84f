/** A bucket that this entry holds, and the time up to which it was updated. */
import type { Placement } from './shares.js';
import { TokenBucket } from './TokenBucket.js';
import type { BudgetView } from './types.js';

/** A token bucket with the time and the version of the adoption history of its last update. */
export class HeldBucket {
  public readonly bucket: TokenBucket;

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
