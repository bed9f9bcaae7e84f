/** A leader confirms its hubs every 200 ms. */
const OVERDUE_MS = 800;

/** How recently a majority of the voters confirmed what this hub holds. */
export class ConfirmationTracker {
  private confirmedAt = -Infinity;

  private heardAt = -Infinity;

  private pending: { index: number; at: number }[] = [];

  /** A majority confirmed at `at` (monotonic ms) that everything committed ends at `index`. */
  public note(index: number, at: number, appliedIndex: number): void {
    this.pending.push({ index, at });
    this.heardAt = Math.max(this.heardAt, at);
    this.advance(appliedIndex);
  }

  /** Counts the confirmations whose index this hub has reached. */
  public advance(appliedIndex: number): void {
    const reached = this.pending.filter(({ index }) => index <= appliedIndex);
    this.pending = this.pending.filter(({ index }) => index > appliedIndex);
    this.confirmedAt = Math.max(this.confirmedAt, ...reached.map(({ at }) => at));
  }

  /** Whether no leader has been heard lately, even one that is ahead of this hub. */
  public isOverdue(now: number): boolean {
    return now - this.heardAt > OVERDUE_MS;
  }

  /** Milliseconds since the newest confirmation, Infinity without any. */
  public ageMs(now: number): number {
    return now - this.confirmedAt;
  }
}
