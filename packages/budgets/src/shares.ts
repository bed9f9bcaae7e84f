/** Division of a team's limit among the holders of its buckets. */
import type { TeamLimit } from './types.js';

/** Rank of a VM among the holders of a team's buckets. */
export interface Placement {
  /** Rank among the holders; -1 if the VM holds no bucket of the team. */
  readonly index: number;
  /** Number of holders. */
  readonly count: number;
}

/** A holder's part of a limit. */
export interface Share {
  /** Whole tokens. */
  readonly capacity: number;
  /** Tokens per second. */
  readonly rate: number;
}

export const NO_SHARE: Share = { capacity: 0, rate: 0 };

/**
 * Number of holders that share a limit. Tokens are whole, so if the burst is below the number of holders, only as many
 * holders as there are tokens have a share, and these divide the whole rate among them.
 */
function countSharing(count: number, burst: number): number {
  return Math.min(count, Math.max(1, Math.floor(burst)));
}

/** Fraction of the rate at which a holder accrues tokens. */
export function rateFraction(placement: Placement, burst: number): number {
  const sharing = countSharing(placement.count, burst);
  return placement.index >= 0 && placement.index < sharing ? 1 / sharing : 0;
}

/** Number of whole tokens that a holder may hold. It does not decrease when the burst increases. */
export function burstShare(placement: Placement, burst: number): number {
  const sharing = countSharing(placement.count, burst);
  if (placement.index < 0 || placement.index >= sharing) return 0;
  const whole = Math.floor(burst);
  return Math.floor(whole / sharing) + (placement.index < whole % sharing ? 1 : 0);
}

/**
 * The share that is safe while entries may act on any of the given placements and bursts; `limit` is the newest limit.
 * Every holder uses the smallest fraction of the rate that it has under any placement and burst, and the smallest
 * capacity under any placement, so the sum of the shares in use never exceeds the largest limit in use.
 */
export function safeShare(
  placements: readonly Placement[],
  limit: TeamLimit,
  bursts: readonly number[],
): Share {
  const fractions = placements.flatMap((placement) =>
    bursts.map((burst) => rateFraction(placement, burst)),
  );
  const fraction = Math.min(...fractions);
  if (!(fraction > 0) || fractions.length === 0) return NO_SHARE;
  const capacity = Math.min(...placements.map((placement) => burstShare(placement, limit.burst)));
  return { capacity, rate: limit.rate * fraction };
}
