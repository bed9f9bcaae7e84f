/** Events a second, as an exponential moving average. */

const MS_PER_SECOND = 1_000;

export class DecayedRate {
  private sum = 0;

  private updatedAt: number;

  /** `startedAt` is the time (monotonic ms) from which on events are counted. */
  public constructor(
    private readonly memoryMs: number,
    private readonly startedAt: number,
  ) {
    this.updatedAt = startedAt;
  }

  public add(count: number, now: number): void {
    this.decay(now);
    this.sum += count;
  }

  /** The average since the start while that is not long ago. */
  public perSecond(now: number): number {
    this.decay(now);
    const seen = 1 - Math.exp(-Math.max(1, now - this.startedAt) / this.memoryMs);
    return (this.sum * MS_PER_SECOND) / (this.memoryMs * seen);
  }

  private decay(now: number): void {
    const passedMs = Math.max(0, now - this.updatedAt);
    this.sum *= Math.exp(-passedMs / this.memoryMs);
    this.updatedAt = Math.max(this.updatedAt, now);
  }
}
