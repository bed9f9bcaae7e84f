/** Mean of samples, weighted by the time that each covers; older ones count less. */
export class DecayedMean {
  private sum = 0;

  private weight = 0;

  public constructor(private readonly memoryMs: number) {}

  public get value(): number {
    return this.weight === 0 ? 0 : this.sum / this.weight;
  }

  /** Adds a sample that covers the last `passedMs`. */
  public add(sample: number, passedMs: number): void {
    const kept = Math.exp(-passedMs / this.memoryMs);
    this.sum = this.sum * kept + sample * (1 - kept);
    this.weight = this.weight * kept + 1 - kept;
  }
}
