/** Time after which a caller that was refused by a level returns. */

/** Callers ignore a longer time than this share of the time that the request has left. */
const MAX_REMAINING_SHARE = 1 / 3;

/** Callers that are refused together return over a time from the wait less to the wait plus this share of it. */
const SPREAD = 0.5;

/** `fraction` is a random number in [0, 1). All times in ms. */
export function levelRetryMs(waitMs: number, remainingMs: number, fraction: number): number {
  const latest = Math.min((1 + SPREAD) * waitMs, Math.max(0, remainingMs) * MAX_REMAINING_SHARE);
  const earliest = (latest * (1 - SPREAD)) / (1 + SPREAD);
  return Math.floor(earliest + (latest - earliest) * fraction);
}
