/** Time bounds of confirmations and reports of entries. */

/** T: an answer keeps an entry current until this long after the request was sent. */
export const FRESHNESS_MS = 2_000;

/** A report that echoes no time of the leader's clock is taken to have been sent at most this long before arrival. */
export const MAX_REPORT_DELAY_MS = 1_000;
