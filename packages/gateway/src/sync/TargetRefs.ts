/** Numbers of targets in the evidence batches of one hub. */
export class TargetRefs {
  private readonly refs = new Map<string, number>();

  private readonly ids = new Map<number, string>();

  private lastRef = 0;

  /** Number of a target, which is assigned on first use. */
  public assign(id: string): number {
    const known = this.refs.get(id);
    if (known !== undefined) return known;
    this.lastRef += 1;
    this.set(id, this.lastRef);
    return this.lastRef;
  }

  /** Stores a number that the hub has assigned. */
  public set(id: string, ref: number): void {
    this.remove(id);
    this.refs.set(id, ref);
    this.ids.set(ref, id);
  }

  public refOf(id: string): number | undefined {
    return this.refs.get(id);
  }

  public idOf(ref: number): string | undefined {
    return this.ids.get(ref);
  }

  public remove(id: string): void {
    const ref = this.refs.get(id);
    if (ref !== undefined) this.ids.delete(ref);
    this.refs.delete(id);
  }

  public clear(): void {
    this.refs.clear();
    this.ids.clear();
  }
}
