/** Final answers to a caller, with a verdict that says whether the request may have run. */

/** Refusals and failures of the entry itself. */
export type Reply =
  | { readonly kind: 'badRequest'; readonly verdict: 'notRun'; readonly detail: string }
  | { readonly kind: 'bodyTooLarge'; readonly verdict: 'notRun' }
  | { readonly kind: 'bodyTooSlow'; readonly verdict: 'notRun' }
  | { readonly kind: 'noRoute'; readonly verdict: 'notRun' }
  | { readonly kind: 'unknownKey'; readonly verdict: 'notRun' }
  /** The entry cannot know whether the route or the key exists. */
  | { readonly kind: 'notCurrent'; readonly verdict: 'notRun' }
  | {
      readonly kind: 'overQuota';
      readonly verdict: 'notRun';
      readonly retryAfterMs: number;
      readonly team: string;
      /** Whether the holder of the budgets refused, or the entry without it. */
      readonly decidedBy: 'holder' | 'entry';
    }
  | { readonly kind: 'noTarget'; readonly verdict: 'notRun' }
  | { readonly kind: 'overloaded'; readonly verdict: 'notRun'; readonly retryAfterMs: number }
  | { readonly kind: 'stopping'; readonly verdict: 'notRun' }
  /** No target ran the request, and there is no time or allowance for another one. */
  | { readonly kind: 'notSent'; readonly verdict: 'notRun'; readonly detail: string }
  | { readonly kind: 'upstreamFailed'; readonly verdict: 'mayHaveRun'; readonly detail: string }
  | { readonly kind: 'timedOut'; readonly verdict: 'mayHaveRun' };

export interface ReplyMessage {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
}

const STATUS: Readonly<Record<Reply['kind'], number>> = {
  badRequest: 400,
  bodyTooLarge: 413,
  bodyTooSlow: 408,
  noRoute: 404,
  unknownKey: 401,
  notCurrent: 503,
  overQuota: 429,
  noTarget: 503,
  overloaded: 503,
  stopping: 503,
  notSent: 503,
  upstreamFailed: 502,
  timedOut: 504,
};

/** When a caller may come back if nothing better is known: targets recover within seconds. */
const RETRY_AFTER_MS = 300;

const MS_PER_SECOND = 1_000;

function retryAfterOf(reply: Reply): number | undefined {
  if ('retryAfterMs' in reply) return reply.retryAfterMs;
  return STATUS[reply.kind] === 503 ? RETRY_AFTER_MS : undefined;
}

/** Formats a reply as problem details. */
export function formatReply(reply: Reply): ReplyMessage {
  const status = STATUS[reply.kind];
  const detail = 'detail' in reply ? { detail: reply.detail } : {};
  const body = Buffer.from(
    JSON.stringify({ status, title: reply.kind, verdict: reply.verdict, ...detail }),
  );
  const retryAfterMs = retryAfterOf(reply);
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
