/** Number of entries that share the rates of the fleet, as known to one entry. */

/**
 * Time for which an entry keeps to a larger number of entries than its hub counts. A hub that has just started counts only
 * those that have connected; if each entry took its share by that number, the shares would exceed the budgets.
 */
const MEMORY_MS = 20_000;

/**
 * An entry that has just started relies on the count only this long after the first one that was complete: hubs take a
 * while to count entries that start together, and the other entries to hear of them.
 */
const SETTLE_MS = 2_000;

/** Number of entries that an entry assumes at least until then. Twice a large deployment. */
const ASSUMED_ENTRIES = 500;

export class EntryCount {
  private last = { entries: 1, at: -Infinity };

  /** Monotonic ms of the first complete count, undefined before it. */
  private completeAt: number | undefined;

  /**
   * Notes a count of the hub that was true at `at` (monotonic ms). It is not complete if the hub has just started or is cut
   * off from the others.
   */
  public note(entries: number, at: number, isComplete: boolean): void {
    if (isComplete) this.completeAt ??= at;
    const isExpired = at - this.last.at > MEMORY_MS;
    if (isExpired || entries >= this.last.entries) {
      this.last = { entries: Math.max(1, entries), at };
    }
  }

  /** The largest number that was counted in the last 20 s, at least 1. */
  public get largest(): number {
    return this.last.entries;
  }

  /** The largest number, or more while the counts cannot be relied on. */
  public cautious(now: number): number {
    const isSettled = this.completeAt !== undefined && now - this.completeAt >= SETTLE_MS;
    return isSettled ? this.largest : Math.max(ASSUMED_ENTRIES, this.largest);
  }
}
