/** Constants of announcements, ejection and target selection. */

/** A target gets new requests only while its newest `up` announcement is younger than this. */
export const ANNOUNCEMENT_LEASE_MS = 2_500;

/** How long `leaving` is remembered, so that a late `up` announcement of the same process is ignored. */
export const TOMBSTONE_MS = 60_000;

/** Length of the first ejection; each relapse doubles it. */
export const EJECTION_BASE_MS = 5_000;

export const EJECTION_MAX_MS = 300_000;

/** Time in rotation without ejection after which the length of the next ejection is halved. */
export const EJECTION_DECAY_MS = 60_000;

/** Period over which the growth of a CUSUM is bounded. */
export const EVIDENCE_ROUND_MS = 250;

/** Time constant of the window for the median latencies and bad rates of peers. */
export const BASELINE_WINDOW_MS = 5_000;

/** Time constant of the window that decides which reporters currently find a target bad. */
export const REPORTER_WINDOW_MS = 1_000;

/** A reporter that has not polled for this long is dropped. */
export const REPORTER_TIMEOUT_MS = 3_000;

/** Time for which a reporter stays suspected after the last review that found it suspect. */
export const SUSPICION_MS = 10_000;

/** Longest time for which slow requests of a target that announced a cold start do not count as bad. */
export const COLD_START_MS = 30_000;

/** Share of normal traffic at the start of probation; each step doubles it. */
export const PROBATION_START_SHARE = 0.1;

/** Minimum length of a probation step. */
export const PROBATION_STEP_MS = 2_000;

/** Successful samples needed for the next probation step. */
export const PROBATION_STEP_SAMPLES = 5;

/** A probation step ends after this time even without samples, since a service may have no idempotent requests. */
export const PROBATION_IDLE_STEP_MS = 10_000;

/** How long a quarantined fingerprint is refused. */
export const QUARANTINE_MS = 300_000;

/** Losses at one target within this time belong to the same crash. */
export const CRASH_WINDOW_MS = 500;

/** Time after its last loss at which a crash is evaluated; longer than a poll interval, so that all entries report. */
export const CRASH_SETTLE_MS = 300;

/** A fingerprint that was lost but neither cleared nor lost again is dropped after this time. */
export const SUSPECTED_FINGERPRINT_MS = 300_000;

/** Maximum number of stored fingerprints per service and of lost requests per poll. */
export const MAX_FINGERPRINTS = 10_000;

/** Share of requests that may be retried. */
export const RETRY_SHARE = 0.1;

/** Maximum number of unused retries that may accumulate. */
export const MAX_SAVED_RETRIES = 20;

/** Lowest concurrency limit of an entry for a target; at a limit below 1 it pauses between its requests. */
export const MIN_CONCURRENCY_LIMIT = 0.05;

/** Consecutive failures, with no success in between, after which an entry's circuit breaker for a target opens. */
export const BREAKER_FAILURE_THRESHOLD = 4;

/** Time for which a circuit breaker opens at first; each unsuccessful trial request doubles it. */
export const BREAKER_BASE_OPEN_MS = 1_000;

export const BREAKER_MAX_OPEN_MS = 30_000;
