/** Quantiles over the peers of a target, that is over all targets but itself. */

/** Sorted values of all targets, so that a quantile without a target's own value takes constant time. */
export class LeaveOneOutQuantiles {
  private readonly sorted: number[];

  private readonly ranks = new Map<string, number>();

  public constructor(values: readonly { readonly target: string; readonly value: number }[]) {
    const sorted = [...values].sort((a, b) => a.value - b.value);
    this.sorted = sorted.map(({ value }) => value);
    sorted.forEach(({ target }, rank) => this.ranks.set(target, rank));
  }

  /** Quantile of the values of all targets but the given one; undefined if there are none. */
  public quantile(target: string, q: number): number | undefined {
    const own = this.ranks.get(target);
    const count = this.sorted.length - (own === undefined ? 0 : 1);
    if (count === 0) return undefined;
    const rank = Math.floor((count - 1) * q);
    return this.sorted[own !== undefined && rank >= own ? rank + 1 : rank];
  }
}
