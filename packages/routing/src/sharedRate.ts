/** The rates that all entries together use of the limits of targets. */

/** Part of a named rate that is used. The rest covers the variance of the numbers that the entries draw. */
const USABLE_FRACTION = 0.6;

/** Lowest rate that is used, in requests a second, so that answers show the state of the target. */
const MIN_PER_SECOND = 0.15;

/** Unused rate that all entries together keep: a time in seconds, and a number of requests. */
const KEPT_SECONDS = 0.5;
const KEPT_REQUESTS = 1;

/**
 * Unused rate that the entries keep for a cold target, in seconds. With less, an entry that asks for the target a few times
 * a second would lose most of its share between two requests; with more, a return of all callers is a burst.
 */
const COLD_KEPT_SECONDS = 0.45;

/**
 * Logarithm of the probability, by Chernoff's bound for a Poisson distribution, with which a second after an idle time may
 * bring a cold target more requests than it tolerates. The probability itself is about a tenth of the bound.
 */
const COLD_LOG_RISK = -8.5;

const BISECTIONS = 40;

/** What all entries together use of a limit. */
export interface SharedRate {
  /** Requests a second. */
  readonly perSecond: number;
  /** Requests that may be sent at once after a time without any. */
  readonly kept: number;
}

/** How far the rate of a cold target may be exceeded: in any second it gets at most rate x `overshoot` + `slack` requests. */
export interface ColdBounds {
  readonly overshoot: number;
  readonly slack: number;
}

/** What is used of a rate that a target names. */
export function namedRate(limit: number): SharedRate {
  const perSecond = USABLE_FRACTION * Math.max(MIN_PER_SECOND, limit);
  return { perSecond, kept: perSecond * KEPT_SECONDS + KEPT_REQUESTS };
}

/** Logarithm of Chernoff's bound for more than `most` events where `mean` are expected. */
function logRisk(mean: number, most: number): number {
  return most - mean + most * Math.log(mean / most);
}

/** The largest number of expected requests with which more than `most` are unlikely enough. */
function safeMean(most: number): number {
  const range = Array.from({ length: BISECTIONS }).reduce<{ low: number; high: number }>(
    ({ low, high }) => {
      const middle = (low + high) / 2;
      return logRisk(middle, most) <= COLD_LOG_RISK ? { low: middle, high } : { low, high: middle };
    },
    { low: 0, high: most },
  );
  return range.low;
}

/**
 * What is used of the rate of a cold target. All of it is intended; the entries draw numbers, so that less is used where the
 * bounds leave no room for their variance. Without bounds the rate is used like one that a target names.
 */
export function coldRate(limit: number, bounds: ColdBounds | undefined): SharedRate {
  if (bounds === undefined) return namedRate(limit);
  // The number that the bound allows, plus one, is the smallest that exceeds it.
  const exceeding = Math.floor(limit * bounds.overshoot + bounds.slack) + 1;
  const safe = Math.min(limit, safeMean(exceeding) / (1 + COLD_KEPT_SECONDS));
  const perSecond = Math.max(MIN_PER_SECOND, safe);
  return { perSecond, kept: perSecond * COLD_KEPT_SECONDS };
}

/** The lower one of two rates, of which at least one is defined. */
export function lowerRate(
  a: SharedRate | undefined,
  b: SharedRate | undefined,
): SharedRate | undefined {
  if (a === undefined || b === undefined) return a ?? b;
  return { perSecond: Math.min(a.perSecond, b.perSecond), kept: Math.min(a.kept, b.kept) };
}
