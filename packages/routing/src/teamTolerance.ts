/**
 * What a team may have beyond its rate in any window, over all entries. It is used where nobody knows what the team has had:
 * a new holder of the budgets does not know what the previous one granted, and an entry without a holder does not know what
 * the others admit. Refusing then hits teams within their rates, as most are.
 */
import type { Team } from './plan.js';

export interface TeamTolerance {
  /** Part of rate x window + burst. */
  readonly overshoot: number;
  /** Further requests. */
  readonly slack: number;
  readonly windowMs: number;
}

/** Part of the tolerance that a holder may start with: there may be several starts within a window, beside entries without a holder. */
const START_FRACTION = 0.25;

/** Part of the limit that entries without a holder use together. The rest is for a holder that starts meanwhile. */
const ISOLATED_FRACTION = 0.9;

const MS_PER_SECOND = 1_000;

function usualLimit({ ratePerSecond, burst }: Team, { windowMs }: TeamTolerance): number {
  return (ratePerSecond * windowMs) / MS_PER_SECOND + burst;
}

/** Tokens that a holder may start with. */
export function startTokensOf(team: Team, tolerance: TeamTolerance): number {
  const { overshoot, slack } = tolerance;
  return START_FRACTION * (overshoot * usualLimit(team, tolerance) + slack);
}

/** Requests that all entries without a holder may admit together in any window. */
export function isolatedLimitOf(team: Team, tolerance: TeamTolerance): number {
  const { overshoot, slack } = tolerance;
  return ISOLATED_FRACTION * ((1 + overshoot) * usualLimit(team, tolerance) + slack);
}
