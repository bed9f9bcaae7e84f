/** Shares of ranks in too little room: urgent ranks first, with a minimum for each. */

/**
 * Minimum share of a rank relative to the mean share. The bound is 0.25; the rest covers errors of the estimates and
 * requests that are lost after they were admitted.
 */
const MIN_MEAN_SHARE = 0.3;

/** Requests a second by rank, 0 is the most urgent. Returns the admitted share of each rank, nothing if all are admitted. */
export function sharesByRank(
  demand: ReadonlyMap<number, number>,
  budget: number,
): ReadonlyMap<number, number> {
  const total = [...demand.values()].reduce((sum, perSecond) => sum + perSecond, 0);
  if (total <= budget) return new Map();
  const mean = Math.max(0, budget) / total;
  const minimum = mean * MIN_MEAN_SHARE;
  let left = budget - minimum * total;
  return new Map(
    [...demand]
      .sort(([a], [b]) => a - b)
      .map(([rank, perSecond]) => {
        const added = Math.min((1 - minimum) * perSecond, Math.max(0, left));
        left -= added;
        return [rank, perSecond <= 0 ? 1 : minimum + added / perSecond] as const;
      }),
  );
}
