/** Constants of announcements, ejection and target selection. */

/** A target gets new work only while its newest `up` announcement is younger than this. */
export const ANNOUNCEMENT_LEASE_MS = 2_500;

/** How long `leaving` is remembered, so that a late `up` announcement of the same process is ignored. */
export const TOMBSTONE_MS = 60_000;

/** Length of a first ejection; each relapse doubles it. */
export const EJECTION_BASE_MS = 5_000;

export const EJECTION_MAX_MS = 300_000;

/** Time in rotation without ejection after which the length of the next ejection is halved. */
export const EJECTION_DECAY_MS = 60_000;

/** Period over which the growth of a CUSUM is bounded. */
export const EVIDENCE_ROUND_MS = 250;

/** Time constant of the window that gives medians and bad rates of peers. */
export const BASELINE_WINDOW_MS = 5_000;

/** Time constant of the window that tells which reporters find a target bad now. */
export const REPORTER_WINDOW_MS = 1_000;

/** A reporter that has been silent for longer is forgotten. */
export const REPORTER_TIMEOUT_MS = 3_000;

/** A suspected reporter stays suspected at least this long after the last observation that made it so. */
export const SUSPICION_MS = 10_000;

/** Longest time for which an announcement of a cold start excuses slowness. */
export const COLD_START_MS = 30_000;

/** Share of normal traffic at the start of probation; each step doubles it. */
export const PROBATION_START_SHARE = 0.1;

/** Least length of one probation step. */
export const PROBATION_STEP_MS = 2_000;

/** Successful samples needed for the next probation step. */
export const PROBATION_STEP_SAMPLES = 5;

/** A probation step ends after this time even without samples, since a service may have no idempotent requests. */
export const PROBATION_IDLE_STEP_MS = 10_000;

/** How long a quarantined fingerprint is refused. */
export const QUARANTINE_MS = 300_000;

/** Losses at one target within this time belong to the same crash. */
export const CRASH_WINDOW_MS = 500;

/** Longer than a poll interval, so that all entries' losses of a crash are known when it is judged. */
export const CRASH_SETTLE_MS = 300;

/** A fingerprint that was lost but neither cleared nor lost again is forgotten after this. */
export const SUSPECTED_FINGERPRINT_MS = 300_000;

/** Bound on remembered fingerprints per service and on lost requests per poll. */
export const MAX_FINGERPRINTS = 10_000;

/** Share of requests that may be retried. */
export const RETRY_SHARE = 0.1;

/** Most retries that may be saved up. */
export const MAX_SAVED_RETRIES = 20;

/** Least local limit per target and entry; below 1 an entry pauses between its requests. */
export const MIN_CONCURRENCY_LIMIT = 0.05;

/** Consecutive failures, with no success in between, after which an entry avoids a target. */
export const BREAKER_FAILURE_THRESHOLD = 4;

/** Length of a first avoidance; each unsuccessful trial doubles it. */
export const BREAKER_BASE_OPEN_MS = 1_000;

export const BREAKER_MAX_OPEN_MS = 30_000;
