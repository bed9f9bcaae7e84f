/** Baseline limiter with a fixed share of the limit per entry. */
import type { BorrowResponse, ReserveOutcome } from '../types.js';
import { BaselineBudgets, createUnconditionalReservation } from './BaselineBudgets.js';

/** Every entry admits rate/N and burst/N on its own. */
export class StaticShareBudgets extends BaselineBudgets {
  public override reserve(team: string): Promise<ReserveOutcome> {
    const bucket = this.bucketOf(team, 1 / Math.max(1, this.view.entries.length));
    if (bucket === undefined) return Promise.resolve({ kind: 'unknownTeam' });
    if (!bucket.take()) {
      return Promise.resolve({ kind: 'overLimit', retryAfterMs: bucket.retryAfterMs });
    }
    const { remaining } = bucket;
    return Promise.resolve({
      kind: 'reserved',
      reservation: createUnconditionalReservation(),
      remaining,
    });
  }

  public override handleBorrow(): BorrowResponse {
    return { items: [] };
  }
}
