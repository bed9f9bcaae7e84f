/** Error responses to callers, with a verdict that says whether the request may have run. */

interface NotSent {
  readonly kind: 'notSent';
  readonly verdict: 'notRun';
  readonly detail: string;
}

type WithReturnTime<T> = T & { readonly retryAfterMs: number };

/** Refusals by the entry itself, and failures of upstreams. */
export type ErrorResponse =
  | { readonly kind: 'badRequest'; readonly verdict: 'notRun'; readonly detail: string }
  | { readonly kind: 'bodyTooLarge'; readonly verdict: 'notRun' }
  | { readonly kind: 'bodyTooSlow'; readonly verdict: 'notRun' }
  | { readonly kind: 'noRoute'; readonly verdict: 'notRun' }
  | { readonly kind: 'unknownKey'; readonly verdict: 'notRun' }
  /** The configuration is missing or may be outdated, so that the entry does not know whether route and key exist. */
  | { readonly kind: 'notCurrent'; readonly verdict: 'notRun' }
  | {
      readonly kind: 'overQuota';
      readonly verdict: 'notRun';
      readonly retryAfterMs: number;
      readonly team: string;
      /** Whether the budget holder refused the request, or the entry because it got no answer from the holder. */
      readonly decidedBy: 'holder' | 'entry';
    }
  | { readonly kind: 'noTarget'; readonly verdict: 'notRun' }
  | WithReturnTime<{ readonly kind: 'noTarget'; readonly verdict: 'notRun' }>
  | { readonly kind: 'overloaded'; readonly verdict: 'notRun'; readonly retryAfterMs: number }
  /** Targets ended under the same request before. */
  | { readonly kind: 'quarantined'; readonly verdict: 'notRun'; readonly retryAfterMs: number }
  /** The process ends before the request could be answered. */
  | { readonly kind: 'stopping'; readonly verdict: 'notRun'; readonly retryAfterMs: number }
  /** No target ran the request, and no further attempt is possible: no target, time or retry budget is left. */
  | NotSent
  | WithReturnTime<NotSent>
  | { readonly kind: 'upstreamFailed'; readonly verdict: 'mayHaveRun'; readonly detail: string }
  | { readonly kind: 'timedOut'; readonly verdict: 'mayHaveRun' };

/** Default of the Retry-After header of 503 responses. Targets recover within seconds. */
export const DEFAULT_RETRY_AFTER_MS = 300;

/** The refusal of an entry that stops. Callers need not wait if other entries are ready. */
export function stoppingError(hasOtherEntries: boolean): ErrorResponse {
  const retryAfterMs = hasOtherEntries ? 0 : DEFAULT_RETRY_AFTER_MS;
  return { kind: 'stopping', verdict: 'notRun', retryAfterMs };
}

export interface EncodedResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
}

const STATUS: Readonly<Record<ErrorResponse['kind'], number>> = {
  badRequest: 400,
  bodyTooLarge: 413,
  bodyTooSlow: 408,
  noRoute: 404,
  unknownKey: 401,
  notCurrent: 503,
  overQuota: 429,
  noTarget: 503,
  overloaded: 503,
  quarantined: 503,
  stopping: 503,
  notSent: 503,
  upstreamFailed: 502,
  timedOut: 504,
};

const MS_PER_SECOND = 1_000;

function retryAfterOf(error: ErrorResponse): number | undefined {
  if ('retryAfterMs' in error) return error.retryAfterMs;
  return STATUS[error.kind] === 503 ? DEFAULT_RETRY_AFTER_MS : undefined;
}

/** Encodes an error response as problem details. */
export function encodeErrorResponse(error: ErrorResponse): EncodedResponse {
  const status = STATUS[error.kind];
  const detail = 'detail' in error ? { detail: error.detail } : {};
  const body = Buffer.from(
    JSON.stringify({ status, title: error.kind, verdict: error.verdict, ...detail }),
  );
  const retryAfterMs = retryAfterOf(error);
  const retryAfter: Record<string, string> =
    retryAfterMs === undefined ? {} : { 'retry-after': String(retryAfterMs / MS_PER_SECOND) };
  return {
    status,
    headers: {
      'content-type': 'application/problem+json',
      'content-length': String(body.length),
      ...retryAfter,
    },
    body,
  };
}
