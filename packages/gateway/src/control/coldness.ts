/** Whether an announcement changes for how long its target is cold. Repeated announcements count the same time down. */

/**
 * Differences that are not passed on. The time that heartbeats take varies; an end that is too early lets requests through,
 * one that is too late only holds some back.
 */
const LATER_TOLERANCE_MS = 50;
const EARLIER_TOLERANCE_MS = 250;

/** Compares ends of the cold time, both in monotonic ms. Those before `now` are alike. */
export function isColdnessChanged(knownUntil: number, nextUntil: number, now: number): boolean {
  const differenceMs = Math.max(now, nextUntil) - Math.max(now, knownUntil);
  return differenceMs > LATER_TOLERANCE_MS || differenceMs < -EARLIER_TOLERANCE_MS;
}
