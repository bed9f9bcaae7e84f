/** Default timings and limits. Options can override each of them. */

/** Period of a leader's heartbeats. */
export const HEARTBEAT_INTERVAL_MS = 50;

/** Shortest election timeout; a leader without a majority for this long steps down. */
export const ELECTION_TIMEOUT_MIN_MS = 300;

/** Longest election timeout. */
export const ELECTION_TIMEOUT_MAX_MS = 600;

/**
 * Election timeouts of a member that has just started and has not received a message of a leader. They are shorter,
 * since after a restart of the whole group there is no leader to wait for.
 */
export const FIRST_ELECTION_TIMEOUT_MIN_MS = 100;
export const FIRST_ELECTION_TIMEOUT_MAX_MS = 300;

/** After this time, and that of the transfer, a request without an answer counts as lost and its entries are sent again. */
export const RESEND_AFTER_MS = 150;

/** Period at which founders exchange their incarnations while a group is bootstrapped. */
export const BOOTSTRAP_INTERVAL_MS = 100;

/** Time for which the leader still replicates to a removed member, so that it learns of its removal. */
export const REMOVAL_NOTICE_MS = 2_000;

/** Most entries of one append request. */
export const MAX_ENTRIES_PER_APPEND = 512;

/** Most bytes of command data of one append request, unless a single entry is larger. */
export const MAX_BYTES_PER_APPEND = 1_048_576;

/** Size of one chunk of a snapshot. */
export const SNAPSHOT_CHUNK_BYTES = 262_144;

/** A snapshot is taken after this many applied entries. */
export const SNAPSHOT_EVERY_ENTRIES = 10_000;

/** The same in bytes of applied data, if the snapshot before has fewer. */
export const SNAPSHOT_EVERY_BYTES = 67_108_864;

/** Entries kept before a snapshot, so that a follower slightly behind needs no snapshot. */
export const RETAINED_ENTRIES = 1_000;

/** Most bytes of data in these entries. */
export const RETAINED_BYTES = 67_108_864;
