/** Decides by the retry budget of a service on further attempts, and on first ones that rely on them. */
import type { RetryValue } from '@marigoldbank/routing/RetryLimiter';
import { retriesRefusedTotal } from '../metrics.js';
import type { EntryState } from './EntryState.js';
import type { RunRequest } from './run-types.js';

/** Requests with a priority up to this number may use the part of the retry budget that is kept for urgent ones. */
const URGENT_PRIORITY = 1;

type RetryState = Pick<EntryState, 'retryLimiter' | 'entryCount' | 'isFollowingHub'>;

type RetriedRequest = Pick<RunRequest, 'priority' | 'route' | 'receivedAt'>;

interface Attempt {
  readonly service: string;
  /** Expected duration of the request at a target. */
  readonly expectedMs: number;
}

/**
 * An answer after the objective is worth a fraction of one in time, so that while targets reject, a scarce budget goes to requests
 * that can still meet theirs.
 */
function valueOf(
  { priority, route, receivedAt }: RetriedRequest,
  expectedMs: number,
  prefersTimely: boolean,
  now: number,
): RetryValue {
  const answeredAt = now + expectedMs;
  if (prefersTimely && answeredAt > (receivedAt ?? now) + route.objectiveMs) return 'late';
  return priority <= URGENT_PRIORITY ? 'urgent' : 'usual';
}

/** Whether a request may be sent to another target. */
export function isRetryAllowed(
  state: RetryState,
  req: RetriedRequest,
  { service, expectedMs }: Attempt,
  now: number,
): boolean {
  const { retryLimiter, entryCount } = state;
  const value = valueOf(req, expectedMs, retryLimiter.countsOffered, now);
  const isAllowed = retryLimiter.mayRetry(
    service,
    value,
    entryCount,
    state.isFollowingHub(now),
    now,
  );
  if (!isAllowed) retriesRefusedTotal.inc({ service, value });
  return isAllowed;
}

/**
 * Whether requests that may be repeated may go to targets that most likely fail, since a second attempt can follow. Without this
 * look at the budget they are lost there while no retry is left: a fifth of the lookups of an archive whose targets reset
 * connections.
 */
export function mayProbe(state: RetryState, service: string, now: number): boolean {
  const { retryLimiter, entryCount } = state;
  if (!retryLimiter.countsOffered) return true;
  return retryLimiter.mayRetry(service, 'probe', entryCount, state.isFollowingHub(now), now);
}
