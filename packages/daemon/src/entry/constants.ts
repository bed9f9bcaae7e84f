/** Limits and header names used when serving caller requests. */

/** Lifetime of an address list response. */
export const ADDRESS_TTL_SECONDS = 5;

/** Time until the other entries know that this one is leaving: one poll by each side, at 500 ms per poll. */
const LEAVE_PROPAGATION_MS = 1_000;

const MS_PER_SECOND = 1_000;

/** Longest time a request waits for a rate limit token. */
export const TOKEN_WAIT_MS = 1_000;

/** Longest time a request waits for the claim holders. */
export const CLAIM_WAIT_MS = 1_000;

/** Longest time a response is delayed until its outcome is stored or its claim released. */
export const CLAIM_STORE_WAIT_MS = 500;

/** Largest response body that is stored with a claim. */
export const MAX_STORED_RESPONSE_BYTES = 262_144;

/** Maximum number of times one request is sent, including the first. */
export const MAX_SENDS = 3;

/**
 * Maximum number of passes through token reservation, queue and dispatch check for one request. Without a limit, expired
 * tokens and ended leases could make a request loop.
 */
export const MAX_DISPATCH_ROUNDS = 8;

export const MAX_IDEMPOTENCY_KEY_LENGTH = 255;

export const WELL_KNOWN_PATH_PREFIX = '/.well-known/marigoldbank/';

export const HEADER_API_KEY = 'x-api-key';
export const HEADER_IDEMPOTENCY_KEY = 'idempotency-key';
export const HEADER_NOT_RUN = 'marigoldbank-not-run';
export const HEADER_REQUEST_ID = 'x-request-id';
export const HEADER_TEAM = 'marigoldbank-team';
export const HEADER_TIMEOUT = 'x-request-timeout-ms';

/** Team name under which requests to open routes are queued. Not a valid team id, so it cannot clash with a real team. */
export const OPEN_TEAM = '(open)';

/** Size and time limits for callers. */
export interface EntryLimits {
  readonly maxTargetBytes: number;
  readonly maxHeaderBytes: number;
  readonly maxHeaders: number;
  /** Time for receiving all headers of a request. */
  readonly headersTimeoutMs: number;
  /** Time for receiving a complete body. */
  readonly bodyTimeoutMs: number;
  /** Longest pause between two chunks of a body. */
  readonly bodyIdleTimeoutMs: number;
  /** Time that an idle connection is kept open. */
  readonly keepAliveTimeoutMs: number;
  /** Time for which the rest of a refused body is read (lingering close), so that the caller receives the response. */
  readonly lingerMs: number;
  readonly maxConnections: number;
  /** Time between removal from the address lists and closing the listening socket. */
  readonly drainDelayMs: number;
}

export const DEFAULT_LIMITS: EntryLimits = {
  maxTargetBytes: 8_192,
  maxHeaderBytes: 16_384,
  maxHeaders: 100,
  headersTimeoutMs: 10_000,
  bodyTimeoutMs: 30_000,
  bodyIdleTimeoutMs: 5_000,
  keepAliveTimeoutMs: 5_000,
  lingerMs: 1_000,
  maxConnections: 10_000,
  drainDelayMs: ADDRESS_TTL_SECONDS * MS_PER_SECOND + LEAVE_PROPAGATION_MS,
};
