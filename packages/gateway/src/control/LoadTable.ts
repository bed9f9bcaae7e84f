/** Requests in flight per target, by the entry or hub that reported them. */
export class LoadTable {
  private readonly bySource = new Map<string, Map<string, number>>();

  private readonly totals = new Map<string, number>();

  public set(source: string, target: string, inFlight: number): void {
    const counts = this.bySource.get(source) ?? new Map<string, number>();
    this.bySource.set(source, counts);
    const change = inFlight - (counts.get(target) ?? 0);
    if (inFlight === 0) counts.delete(target);
    else counts.set(target, inFlight);
    this.addTotal(target, change);
  }

  /** Removes a source and returns the targets at which it had requests in flight. */
  public removeSource(source: string): string[] {
    const counts = this.bySource.get(source);
    if (counts === undefined) return [];
    this.bySource.delete(source);
    counts.forEach((inFlight, target) => this.addTotal(target, -inFlight));
    return [...counts.keys()];
  }

  public total(target: string): number {
    return this.totals.get(target) ?? 0;
  }

  public get(source: string, target: string): number {
    return this.bySource.get(source)?.get(target) ?? 0;
  }

  /** Targets with requests in flight. */
  public busyTargets(): string[] {
    return [...this.totals.keys()];
  }

  private addTotal(target: string, change: number): void {
    const next = this.total(target) + change;
    if (next <= 0) this.totals.delete(target);
    else this.totals.set(target, next);
  }
}
