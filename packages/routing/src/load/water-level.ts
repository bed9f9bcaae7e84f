/** Max-min fair sharing. */

export interface Claim {
  readonly demand: number;
  readonly weight: number;
}

/** The level at which the sum of min(demand, level x weight) is the budget; Infinity if the budget covers all demand. */
export function waterLevel(claims: readonly Claim[], budget: number): number {
  const sorted = claims
    .filter(({ demand }) => demand > 0)
    .sort((a, b) => a.demand * b.weight - b.demand * a.weight);
  let left = Math.max(0, budget);
  let weights = sorted.reduce((sum, { weight }) => sum + weight, 0);
  const first = sorted.find(({ demand, weight }) => {
    if (demand * weights > left * weight) return true;
    left -= demand;
    weights -= weight;
    return false;
  });
  return first === undefined ? Infinity : left / weights;
}
