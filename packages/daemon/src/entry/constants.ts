/** Limits and names of the HTTP path. */

/** Lifetime of an answer with addresses. */
export const ADDRESS_TTL_SECONDS = 5;

/** Time in which the other entries learn that this one is leaving: one poll of each side at 500 ms. */
const LEARN_OF_LEAVING_MS = 1_000;

const MS_PER_SECOND = 1_000;

/** Longest wait of a request for a token. */
export const TOKEN_WAIT_MS = 1_000;

/** Longest wait for the holders of a claim. */
export const CLAIM_WAIT_MS = 1_000;

/** Longest wait until an outcome is stored, or a claim released, before the caller is answered anyway. */
export const CLAIM_STORE_WAIT_MS = 500;

/** Largest answer that is stored with a claim. */
export const MAX_STORED_ANSWER_BYTES = 262_144;

/** Most sends of one request, the first included. */
export const MAX_SENDS = 3;

/** Most rounds of token, queue and gate for one request, so that stale tokens and leases cannot loop. */
export const MAX_ROUNDS = 8;

export const MAX_IDEMPOTENCY_KEY_LENGTH = 255;

export const OWN_PATH_PREFIX = '/.well-known/marigoldbank/';

export const HEADER_API_KEY = 'x-api-key';
export const HEADER_IDEMPOTENCY_KEY = 'idempotency-key';
export const HEADER_NOT_RUN = 'marigoldbank-not-run';
export const HEADER_REQUEST_ID = 'x-request-id';
export const HEADER_TEAM = 'marigoldbank-team';
export const HEADER_TIMEOUT = 'x-request-timeout-ms';

/** Team name under which requests of open routes queue; not a valid team id. */
export const OPEN_TEAM = '(open)';

/** Limits on what a caller may send and how slowly. */
export interface EntryLimits {
  readonly maxTargetBytes: number;
  readonly maxHeaderBytes: number;
  readonly maxHeaders: number;
  /** Time for all headers of a request. */
  readonly headersTimeoutMs: number;
  /** Time for a whole body. */
  readonly bodyTimeoutMs: number;
  /** Longest pause within a body. */
  readonly bodyIdleTimeoutMs: number;
  /** Time that an idle connection is kept. */
  readonly keepAliveTimeoutMs: number;
  /** Time that the rest of a refused body is read, so that the caller can read the answer. */
  readonly lingerMs: number;
  readonly maxConnections: number;
  /** Time between leaving the address answers and refusing new connections. */
  readonly leaveNoticeMs: number;
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
  leaveNoticeMs: ADDRESS_TTL_SECONDS * MS_PER_SECOND + LEARN_OF_LEAVING_MS,
};
