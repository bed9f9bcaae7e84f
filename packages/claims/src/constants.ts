/** Sizes and durations of the claim protocol. */

export const SHARD_COUNT = 256;

/** Holders of a shard; fewer in a view with fewer entries. */
export const HOLDER_COUNT = 5;

/** Window for resending with the same key. */
export const CLAIM_LIFETIME_MS = 600_000;

/** The clocks of two VMs may run apart by up to 1%. */
export const DRIFT_FACTOR = 1.01;

/** Holders keep a claim longer than its lifetime, so that a fast clock does not end it early. */
export const RETENTION_MS = CLAIM_LIFETIME_MS * DRIFT_FACTOR;

/** A released claim is remembered for this long, so that a late copy of its request does not block the key. */
export const RELEASED_RETENTION_MS = 60_000;

/** Time after its claim until which a request may be dispatched. */
export const DISPATCH_WINDOW_MS = 5_000;

/** Time after its last confirmation for which an entry counts as current (T on the design page). */
export const CURRENCY_MS = 2_000;

/** Larger outcomes are stored as a marker without content. */
export const MAX_OUTCOME_BYTES = 65_536;

/** Bound on the content that one holder stores; beyond it outcomes are stored as markers. */
export const MAX_STORED_BYTES = 33_554_432;

/** Period at which unanswered recovery requests are sent again. */
export const RECOVERY_RETRY_MS = 200;

/** Age at which a recovery also reads from holders of views before the last one. */
export const OVERDUE_RECOVERY_MS = 2_000;

/** Period at which an overdue recovery asks again. */
export const OVERDUE_RETRY_MS = 1_000;

/** Views that a holder remembers, to finish a recovery that another view change overtook. */
export const MAX_VIEWS = 4;

/** Time after which an attempt stops waiting for holders that do not answer. */
export const ATTEMPT_TIMEOUT_MS = 250;

/** Bounds of the random pause before the next attempt. */
export const MIN_BACKOFF_MS = 5;
export const MAX_BACKOFF_MS = 60;

/** Pause after an attempt without a majority of answers: holders finish a recovery round in this time. */
export const UNAVAILABLE_PAUSE_MS = 250;

/** Results and releases are sent again with this pause to holders that have not confirmed them. */
export const RESOLVE_RETRY_MS = 300;
export const MAX_RESOLVE_SENDS = 6;

/** Period of the removal of expired claims, and the number of shards visited each time. */
export const SWEEP_INTERVAL_MS = 1_000;
export const SHARDS_PER_SWEEP = 8;
