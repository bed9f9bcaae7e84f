/** Durations of currency. */

/** T: time from the sending of a question for which its answer keeps an entry current. */
export const FRESHNESS_MS = 2_000;

/** A report that echoes no time counts as sent this long before it arrived. */
export const MAX_REPORT_DELAY_MS = 1_000;
