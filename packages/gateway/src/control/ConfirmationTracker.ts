/** Without a confirmation for this long, the next one is overdue; the leader sends one every 200 ms. */
const OVERDUE_MS = 800;

/** Tracks how recently a majority of the voters confirmed the replicated state of this hub. */
export class ConfirmationTracker {
  private confirmedAt = -Infinity;

  /** Arrival of the newest confirmation, whether its index has been applied or not. */
  private arrivedAt = -Infinity;

  /** Confirmations of an index that this hub has not applied yet. */
  private pending: { index: number; at: number }[] = [];

  /**
   * Records that a majority confirmed at `at` (monotonic ms) that `index` is the last committed index. The message
   * about it arrived at `arrivedAt`, much later if the leader or this hub is busy.
   */
  public record(index: number, at: number, appliedIndex: number, arrivedAt = at): void {
    this.pending.push({ index, at });
    this.noteArrival(arrivedAt);
    this.advance(appliedIndex);
  }

  /** Notes a confirmation that cannot be dated. It only shows that there is a leader. */
  public noteArrival(arrivedAt: number): void {
    this.arrivedAt = Math.max(this.arrivedAt, arrivedAt);
  }

  /** Takes pending confirmations into account whose index this hub has applied. */
  public advance(appliedIndex: number): void {
    const reached = this.pending.filter(({ index }) => index <= appliedIndex);
    this.pending = this.pending.filter(({ index }) => index > appliedIndex);
    this.confirmedAt = Math.max(this.confirmedAt, ...reached.map(({ at }) => at));
  }

  /** Whether no confirmation has arrived lately, not even one for an index that this hub has not applied yet. */
  public isOverdue(now: number): boolean {
    return now - this.arrivedAt > OVERDUE_MS;
  }

  /** Milliseconds since the newest confirmation whose index has been applied, Infinity without any. */
  public ageMs(now: number): number {
    return now - this.confirmedAt;
  }
}
