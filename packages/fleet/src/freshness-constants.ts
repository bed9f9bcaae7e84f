/** Durations for which confirmations and reports of entries are valid. */

/** T: an answer keeps an entry current until this long after the request was sent. */
export const FRESHNESS_MS = 2_000;

/** A report that echoes no time of the leader's clock is taken to have been sent this long before it arrived. */
export const MAX_REPORT_DELAY_MS = 1_000;
