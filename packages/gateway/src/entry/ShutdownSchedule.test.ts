import { describe, it } from 'node:test';
import { expect } from 'earl';
import { ShutdownSchedule } from './ShutdownSchedule.js';

const GRACE_MS = 6_000;

/** From the last sixth of the grace period on, an answer of the entry in place of the target's is no loss. */
const LAST_SIXTH_AT_MS = 5_000;

/** Requests that are sent later than this have to be answered in any case. */
const LAST_COUNTED_MS = 3_000;

const TIMEOUTS_MS = [300, 1_200, 2_500, 4_000, 6_000, 60_000];
const ARRIVALS_MS = Array.from({ length: 120 }, (_, i) => i * 50);

function makeStopping(startedAt = 0): ShutdownSchedule {
  const schedule = new ShutdownSchedule();
  schedule.begin(startedAt, GRACE_MS);
  return schedule;
}

describe('ShutdownSchedule', () => {
  it('changes nothing without a stop', () => {
    const schedule = new ShutdownSchedule();
    expect([schedule.isStopping, schedule.isRefusing(1e9)]).toEqual([false, false]);
    expect(schedule.deadlineOf(60_000)).toEqual(60_000);
    const request = { isIdempotent: false, dueAt: 1e9, expectedMs: 1e9 };
    expect(schedule.mayPassOn(request, 0)).toEqual(true);
  });

  it('passes on a request that may run once only if its whole time ends before the process does', () => {
    const schedule = makeStopping();
    const passedOn = ARRIVALS_MS.flatMap((at) =>
      TIMEOUTS_MS.map((timeoutMs) => ({ dueAt: at + timeoutMs, at })),
    ).filter(({ dueAt, at }) =>
      schedule.mayPassOn({ isIdempotent: false, dueAt, expectedMs: 100 }, at),
    );
    expect(passedOn.length).toBeGreaterThan(100);
    expect(passedOn.filter(({ dueAt }) => dueAt > schedule.answerBy)).toEqual([]);
  });

  it('passes on a request that may be repeated while one of its kind usually completes', () => {
    const schedule = makeStopping();
    const request = { isIdempotent: true, dueAt: 60_000, expectedMs: 1_000 };
    expect(schedule.mayPassOn(request, schedule.answerBy - 1_000)).toEqual(true);
    expect(schedule.mayPassOn(request, schedule.answerBy - 999)).toEqual(false);
  });

  it('hands a target no more time than is left until the last answer', () => {
    const schedule = makeStopping(500);
    expect(schedule.deadlineOf(60_000)).toEqual(schedule.answerBy);
    expect(schedule.deadlineOf(1_000)).toEqual(1_000);
  });

  it('takes no requests later than those for which a target may work until the last sixth of the grace period', () => {
    const schedule = makeStopping();
    expect(schedule.refuseAt).toBeLessThan(LAST_COUNTED_MS);
    expect(schedule.answerBy).toBeGreaterThan(LAST_SIXTH_AT_MS);
  });

  it('orders its steps so that each leaves time for the next one, and ends before the kill', () => {
    const { refuseAt, endWaitsAt, answerBy, endAt } = makeStopping();
    const steps = [0, refuseAt, endWaitsAt, answerBy, endAt, GRACE_MS];
    expect(steps).toEqual([...steps].sort((a, b) => a - b));
    // The rest of a refused body is read for up to 1 s before its connection is closed.
    expect(answerBy - endWaitsAt).toBeGreaterThan(1_000);
    expect(GRACE_MS - answerBy).toBeGreaterThan(400);
  });
});
