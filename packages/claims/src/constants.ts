/** Sizes and durations of the claim protocol. */

export const SHARD_COUNT = 256;

/** Holders of a shard; fewer in a view with fewer entries. */
export const HOLDER_COUNT = 5;

/** Time for which a key is blocked after its claim, and in which a resend gets the stored outcome. */
export const CLAIM_LIFETIME_MS = 600_000;

/** Bound on clock drift: the rates of the clocks of two VMs differ by at most 1%. */
export const DRIFT_FACTOR = 1.01;

/** Holders keep a claim longer than its lifetime, so that a fast clock does not end it early. */
export const RETENTION_MS = CLAIM_LIFETIME_MS * DRIFT_FACTOR;

/** A released claim is remembered for this long, so that a late copy of its request does not block the key. */
export const RELEASED_RETENTION_MS = 60_000;

/** Time after its claim until which a request may be dispatched. */
export const DISPATCH_WINDOW_MS = 5_000;

/** An entry counts as current until this long after it sent the last confirmed request (T on the design page). */
export const FRESHNESS_MS = 2_000;

/** Of a larger outcome only the fact that the request completed is stored. */
export const MAX_OUTCOME_BYTES = 65_536;

/** Bound on the bytes of outcomes that one holder stores; outcomes beyond it are stored without content. */
export const MAX_STORED_BYTES = 33_554_432;

/** Period at which unanswered recovery requests are sent again. */
export const RECOVERY_RETRY_MS = 200;

/** Age at which a recovery is overdue: it then also reads from holders of views before the last one. */
export const OVERDUE_RECOVERY_MS = 2_000;

/** Period at which an overdue recovery sends its requests again. */
export const OVERDUE_RETRY_MS = 1_000;

/** Number of views that a holder remembers, to finish a recovery during which the view changes again. */
export const MAX_VIEWS = 4;

/** Time after which an attempt stops waiting for holders that do not answer. */
export const ATTEMPT_TIMEOUT_MS = 250;

/** Bounds of the random pause after an attempt that a claim of another attempt blocked. */
export const MIN_BACKOFF_MS = 5;
export const MAX_BACKOFF_MS = 60;

/** Pause after an attempt neither granted nor blocked; long enough for the holders to finish a recovery round. */
export const UNAVAILABLE_PAUSE_MS = 250;

/** Pause before a result or release is sent again to holders that have not answered, and bound on the sends. */
export const RESOLVE_RETRY_MS = 300;
export const MAX_RESOLVE_SENDS = 6;

/** Period of the removal of expired claims, and the number of shards visited each time. */
export const SWEEP_INTERVAL_MS = 1_000;
export const SHARDS_PER_SWEEP = 8;
