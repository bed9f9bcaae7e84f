/** What a further attempt of a request is worth, which decides how much of the retry budget it may use. */
import type { RetryValue } from '@marigoldbank/routing/RetryLimiter';
import type { Route } from '@marigoldbank/routing/plan';
import type { EntryState } from './EntryState.js';
import type { RunRequest } from './run-types.js';

/** Requests with a priority up to this number may use the part of the retry budget that is kept for urgent ones. */
const URGENT_PRIORITY = 1;

/**
 * `expectedMs` is the duration of the request at a target. An answer after the objective is worth a fraction of one in time, so
 * that while targets reject, a scarce budget goes to requests that can still meet theirs.
 */
export function retryValueOf(
  { priority, route, receivedAt }: Pick<RunRequest, 'priority' | 'route' | 'receivedAt'>,
  expectedMs: number,
  prefersTimely: boolean,
  now: number,
): RetryValue {
  const answeredAt = now + expectedMs;
  if (prefersTimely && answeredAt > (receivedAt ?? now) + route.objectiveMs) return 'late';
  return priority <= URGENT_PRIORITY ? 'urgent' : 'usual';
}

/**
 * Whether the first attempt of a request may go to a target that most likely fails, since another one can follow it. Without this
 * look at the budget, requests that may be repeated are lost at such targets while no retry is left: a fifth of the
 * lookups of an archive whose targets reset connections.
 */
export function mayRisk(
  state: Pick<EntryState, 'retryLimiter' | 'entryCount' | 'isFollowingHub'>,
  { isIdempotent, maxTargets }: Pick<Route, 'isIdempotent' | 'maxTargets'>,
  service: string,
  now: number,
): boolean {
  if (!isIdempotent || maxTargets <= 1) return false;
  const { retryLimiter, entryCount } = state;
  if (!retryLimiter.countsOffered) return true;
  return retryLimiter.mayRetry(service, 'probe', entryCount, state.isFollowingHub(now), now);
}
