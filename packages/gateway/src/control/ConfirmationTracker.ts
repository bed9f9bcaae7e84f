/** Tracks how recently a majority of the voters confirmed the replicated state of this VM. */
export class ConfirmationTracker {
  private confirmedAt = -Infinity;

  /** Arrival of the newest confirmation, whether its index has been applied or not. */
  private arrivedAt = -Infinity;

  /** Confirmations of an index that is not applied yet. */
  private pending: { index: number; at: number }[] = [];

  /**
   * Records that a majority confirmed at `at` (monotonic ms) that `index` is the last committed index. The message
   * about it arrived at `arrivedAt`, later if the leader or this VM is busy.
   */
  public record(index: number, at: number, appliedIndex: number, arrivedAt = at): void {
    this.pending.push({ index, at });
    this.arrivedAt = Math.max(this.arrivedAt, arrivedAt);
    this.advance(appliedIndex);
  }

  /** Takes pending confirmations into account whose index this hub has applied. */
  public advance(appliedIndex: number): void {
    const reached = this.pending.filter(({ index }) => index <= appliedIndex);
    this.pending = this.pending.filter(({ index }) => index > appliedIndex);
    this.confirmedAt = Math.max(this.confirmedAt, ...reached.map(({ at }) => at));
  }

  /** Milliseconds since a confirmation arrived, also one for an index that is not applied yet. */
  public arrivalAgeMs(now: number): number {
    return now - this.arrivedAt;
  }

  /** Milliseconds since the newest confirmation whose index has been applied, Infinity without any. */
  public ageMs(now: number): number {
    return now - this.confirmedAt;
  }
}
