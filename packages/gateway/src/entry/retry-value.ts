/** What a further attempt of a request is worth, which decides how much of the retry budget it may use. */
import type { RetryValue } from '@marigoldbank/routing/RetryLimiter';
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
