/** Why targets have got no request for a while, as one entry knows it. */
import { FAILING_THRESHOLD, type ITargetFilter } from './TargetSelector.js';
import type { TargetLimits } from './TargetLimits.js';
import type { TargetState } from './TargetTable.js';

/** A target without a request for this long counts as unused. */
export const UNUSED_MS = 2_000;

export const UNUSED_REASONS = [
  /** It leaves or pauses, or its data centre is evacuated. */
  'notUsable',
  /** This entry does not reach it. */
  'unreachable',
  'failing',
  /** It has a limit, of which this entry has a share. */
  'limited',
  /** It is in another data centre. */
  'elsewhere',
  'other',
] as const;

export type UnusedReason = (typeof UNUSED_REASONS)[number];

/** What an entry knows beside the state of the targets. */
export interface UnusedContext {
  readonly dataCentre: string;
  readonly filter: ITargetFilter;
  readonly limits: Pick<TargetLimits, 'waitMs'>;
}

/** Monotonic ms at which the target last got a request or an outcome of one became known. */
export function lastUsedAt({ lastTriedAt, lastOutcomeAt }: TargetState): number {
  return Math.max(lastTriedAt, lastOutcomeAt);
}

/** Why a target is unused, undefined if it is in use. */
export function unusedReason(
  target: TargetState,
  { dataCentre, filter, limits }: UnusedContext,
  now: number,
): UnusedReason | undefined {
  const { info, belief, unreachableUntil } = target;
  if (target.ownInFlight + target.othersInFlight > 0) return undefined;
  if (now - lastUsedAt(target) < UNUSED_MS) return undefined;
  if (!filter.isUsable(info, now)) return 'notUsable';
  if (now < unreachableUntil) return 'unreachable';
  if (belief.failingProbability(now) >= FAILING_THRESHOLD) return 'failing';
  if (limits.waitMs([info.id], now) !== undefined) return 'limited';
  return info.dataCentre === dataCentre ? 'other' : 'elsewhere';
}
