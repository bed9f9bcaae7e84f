/** Quantiles of the peers of each target. */

/** Sorted values of all targets, from which one target's own value can be left out. */
export class LeaveOneOutQuantiles {
  private readonly sorted: number[];

  private readonly ranks = new Map<string, number>();

  public constructor(values: readonly { readonly target: string; readonly value: number }[]) {
    const sorted = [...values].sort((a, b) => a.value - b.value);
    this.sorted = sorted.map(({ value }) => value);
    sorted.forEach(({ target }, rank) => this.ranks.set(target, rank));
  }

  /** Quantile of the values of all targets but the given one; undefined without any. */
  public quantile(target: string, q: number): number | undefined {
    const own = this.ranks.get(target);
    const count = this.sorted.length - (own === undefined ? 0 : 1);
    if (count === 0) return undefined;
    const rank = Math.floor((count - 1) * q);
    return this.sorted[own !== undefined && rank >= own ? rank + 1 : rank];
  }
}
