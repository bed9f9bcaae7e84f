/** Refusals of caller requests and their HTTP responses (RFC 9457 problem details). */
import { toWireVerdict, type Verdict } from '@marigoldbank/base/verdict';

/** Why a request got no upstream response, with the verdict on whether it may have run. */
export type Refusal =
  | { readonly kind: 'badRequest'; readonly verdict: 'notRun'; readonly detail: string }
  | { readonly kind: 'unauthenticated'; readonly verdict: 'notRun' }
  | { readonly kind: 'forbidden'; readonly verdict: 'notRun' }
  | { readonly kind: 'notFound'; readonly verdict: 'notRun' }
  | {
      readonly kind: 'methodNotAllowed';
      readonly verdict: 'notRun';
      readonly allowed: readonly string[];
    }
  | { readonly kind: 'requestTimeout'; readonly verdict: 'notRun' }
  | { readonly kind: 'bodyTooLarge'; readonly verdict: 'notRun'; readonly limitBytes: number }
  | { readonly kind: 'targetTooLong'; readonly verdict: 'notRun' }
  | { readonly kind: 'headersTooLarge'; readonly verdict: 'notRun' }
  | {
      readonly kind: 'overLimit';
      readonly verdict: 'notRun';
      readonly retryAfterMs: number;
      readonly rate: number;
      readonly burst: number;
    }
  | { readonly kind: 'claimInProgress'; readonly verdict: 'mayHaveRun' }
  | { readonly kind: 'claimMismatch'; readonly verdict: 'notRun' }
  | { readonly kind: 'claimUnavailable'; readonly verdict: 'notRun'; readonly detail: string }
  | { readonly kind: 'claimExpired'; readonly verdict: 'notRun' }
  | { readonly kind: 'notReady'; readonly verdict: 'notRun' }
  | { readonly kind: 'notCurrent'; readonly verdict: 'notRun' }
  | { readonly kind: 'quarantined'; readonly verdict: 'notRun' }
  | { readonly kind: 'queueFull'; readonly verdict: 'notRun' }
  | { readonly kind: 'noTarget'; readonly verdict: 'notRun' }
  | { readonly kind: 'shed'; readonly verdict: 'notRun'; readonly retryAfterMs: number | undefined }
  | { readonly kind: 'connectFailed'; readonly verdict: 'notRun' }
  | { readonly kind: 'deadlineBeforeDispatch'; readonly verdict: 'notRun' }
  | { readonly kind: 'callerGone'; readonly verdict: Verdict }
  | { readonly kind: 'upstreamTimeout'; readonly verdict: 'mayHaveRun' }
  | { readonly kind: 'upstreamFailed'; readonly verdict: 'mayHaveRun'; readonly detail: string }
  | { readonly kind: 'internalError'; readonly verdict: 'notRun' | 'mayHaveRun' };

export type RefusalKind = Refusal['kind'];

interface ProblemType {
  readonly status: number;
  readonly title: string;
}

const DEFAULT_RETRY_AFTER_MS = 1_000;

const MS_PER_SECOND = 1_000;

const PROBLEM_TYPES: Record<RefusalKind, ProblemType> = {
  badRequest: { status: 400, title: 'Malformed request' },
  unauthenticated: { status: 401, title: 'A valid key is needed' },
  forbidden: { status: 403, title: 'The plan does not include this route' },
  notFound: { status: 404, title: 'No such route' },
  methodNotAllowed: { status: 405, title: 'Method not allowed on this route' },
  requestTimeout: { status: 408, title: 'The request arrived too slowly' },
  bodyTooLarge: { status: 413, title: 'The body is too large' },
  targetTooLong: { status: 414, title: 'The request target is too long' },
  headersTooLarge: { status: 431, title: 'The headers are too large or too many' },
  overLimit: { status: 429, title: 'The rate of the plan is used up' },
  claimInProgress: { status: 409, title: 'A request with this idempotency key may have run' },
  claimMismatch: { status: 409, title: 'The idempotency key was used with another request' },
  claimUnavailable: { status: 503, title: 'The idempotency key could not be claimed' },
  claimExpired: { status: 503, title: 'The request waited too long after its claim' },
  notReady: { status: 503, title: 'This entry has no configuration yet' },
  notCurrent: { status: 503, title: 'This entry is not current' },
  quarantined: { status: 503, title: 'This request made upstreams fail and is held back' },
  queueFull: { status: 503, title: 'Too many requests are waiting for this service' },
  noTarget: { status: 503, title: 'No target of the service is available' },
  shed: { status: 503, title: 'The upstream refused the request without running it' },
  connectFailed: { status: 503, title: 'No connection to an upstream' },
  deadlineBeforeDispatch: { status: 504, title: 'The deadline passed before dispatch' },
  callerGone: { status: 499, title: 'The caller went away' },
  upstreamTimeout: { status: 504, title: 'The upstream did not answer in time' },
  upstreamFailed: { status: 502, title: 'The upstream failed' },
  internalError: { status: 500, title: 'Internal error' },
};

/** HTTP response to a refused request. */
export interface ProblemResponse {
  readonly status: number;
  readonly headers: readonly (readonly [string, string])[];
  readonly body: Buffer;
}

/** HTTP status code of a kind of refusal. */
export function statusOf(kind: RefusalKind): number {
  return PROBLEM_TYPES[kind].status;
}

function toSeconds(ms: number): string {
  return String(Math.max(1, Math.ceil(ms / MS_PER_SECOND)));
}

function detailOf(refusal: Refusal): string | undefined {
  if (refusal.kind === 'bodyTooLarge') return `at most ${refusal.limitBytes} bytes`;
  return 'detail' in refusal ? refusal.detail : undefined;
}

function rateLimitHeaders(refusal: Refusal): (readonly [string, string])[] {
  if (refusal.kind !== 'overLimit') return [];
  const reset = toSeconds(refusal.retryAfterMs);
  return [
    ['retry-after', reset],
    ['ratelimit-limit', String(refusal.rate)],
    ['ratelimit-remaining', '0'],
    ['ratelimit-reset', reset],
    ['ratelimit-policy', `${refusal.rate};w=1;burst=${refusal.burst}`],
  ];
}

function extraHeaders(refusal: Refusal): (readonly [string, string])[] {
  if (refusal.kind === 'overLimit') return rateLimitHeaders(refusal);
  if (refusal.kind === 'unauthenticated') return [['www-authenticate', 'Bearer']];
  if (refusal.kind === 'methodNotAllowed') return [['allow', refusal.allowed.join(', ')]];
  if (refusal.kind === 'shed') {
    return [['retry-after', toSeconds(refusal.retryAfterMs ?? DEFAULT_RETRY_AFTER_MS)]];
  }
  if (statusOf(refusal.kind) === 503) return [['retry-after', toSeconds(DEFAULT_RETRY_AFTER_MS)]];
  return [];
}

/** Creates the problem details response for a refusal. */
export function toProblemResponse(refusal: Refusal, requestId: string): ProblemResponse {
  const { status, title } = PROBLEM_TYPES[refusal.kind];
  const problem = {
    type: `urn:marigoldbank:problem:${refusal.kind}`,
    title,
    status,
    detail: detailOf(refusal),
    instance: `urn:marigoldbank:request:${requestId}`,
    verdict: toWireVerdict(refusal.verdict),
  };
  const body = Buffer.from(JSON.stringify(problem));
  return {
    status,
    headers: [
      ['content-type', 'application/problem+json'],
      ['content-length', String(body.length)],
      ['cache-control', 'no-store'],
      ['x-request-id', requestId],
      ...extraHeaders(refusal),
    ],
    body,
  };
}
