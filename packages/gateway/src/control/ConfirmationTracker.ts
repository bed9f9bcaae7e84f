/** Without a confirmation for this long, the next one is overdue; the leader sends one every 200 ms. */
const OVERDUE_MS = 800;

/** Tracks how recently a majority of the voters confirmed the replicated state of this hub. */
export class ConfirmationTracker {
  private confirmedAt = -Infinity;

  /** Time of the newest confirmation, whether its index has been applied or not. */
  private newestAt = -Infinity;

  /** Confirmations of an index that this hub has not applied yet. */
  private pending: { index: number; at: number }[] = [];

  /** Records that a majority confirmed at `at` (monotonic ms) that `index` is the last committed index. */
  public record(index: number, at: number, appliedIndex: number): void {
    this.pending.push({ index, at });
    this.newestAt = Math.max(this.newestAt, at);
    this.advance(appliedIndex);
  }

  /** Takes pending confirmations into account whose index this hub has applied. */
  public advance(appliedIndex: number): void {
    const reached = this.pending.filter(({ index }) => index <= appliedIndex);
    this.pending = this.pending.filter(({ index }) => index > appliedIndex);
    this.confirmedAt = Math.max(this.confirmedAt, ...reached.map(({ at }) => at));
  }

  /** Whether no confirmation has arrived lately, not even one for an index that this hub has not applied yet. */
  public isOverdue(now: number): boolean {
    return now - this.newestAt > OVERDUE_MS;
  }

  /** Milliseconds since the newest confirmation whose index has been applied, Infinity without any. */
  public ageMs(now: number): number {
    return now - this.confirmedAt;
  }
}
