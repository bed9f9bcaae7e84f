/** One held bucket and how far it was brought up to date. */
import type { Placement } from './shares.js';
import { TokenBucket } from './TokenBucket.js';
import type { BudgetView } from './types.js';

/** A bucket and the state of the history up to which it was brought. */
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

  /** Notes that the bucket is brought up to `now`; returns from when on, and whether the history changed since. */
  public markSynced(version: number, now: number): { from: number; isSameVersion: boolean } {
    const before = { from: this.syncedAt, isSameVersion: this.version === version };
    this.syncedAt = now;
    this.version = version;
    return before;
  }
}
