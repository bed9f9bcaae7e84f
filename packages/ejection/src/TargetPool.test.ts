import { describe, it } from 'node:test';
import { VirtualClock } from '@marigoldbank/base/virtual-clock';
import { expect } from 'earl';
import { announcementOf, poolOf } from './fixtures.js';
import type { TargetPool } from './TargetPool.js';
import type { Announcement, CoordinateResponse, TargetLease, TargetStatus } from './types.js';

const ANY = { isIdempotent: true, exclude: new Set<string>() };

function statusOf(
  target: string,
  overrides: Partial<Announcement & TargetStatus> = {},
): TargetStatus {
  const { status = 'inRotation', share = 1, fleetOutstanding = 0, ...rest } = overrides;
  return {
    announcement: announcementOf(target, rest),
    status,
    share,
    fleetOutstanding,
    reason: '',
  };
}

function answer(...targets: TargetStatus[]): CoordinateResponse {
  return { targets, suspectedReporters: [], quarantined: [], suspectedFingerprints: [] };
}

function chooseMany(pool: TargetPool, count: number, req = ANY): string[] {
  return Array.from({ length: count }, () => {
    const lease = pool.tryChoose(req);
    lease?.finish('cancelled', 0);
    return lease?.target ?? 'none';
  });
}

describe('TargetPool: lease', () => {
  it('sends no new request to a target 3 s after it left, even if the entry gets no announcement of that', () => {
    const clock = new VirtualClock();
    const pool = poolOf(clock);
    // The announcement was 300 ms old at the coordinator, and the answer took 400 ms.
    clock.advance(400);
    pool.update(answer(statusOf('t-0', { ageMs: 300 })), 0);
    const lease = pool.tryChoose(ANY)!;
    const lastChoice = { at: 0 };
    while (clock.now() < 4_000) {
      if (chooseMany(pool, 1)[0] !== 'none') lastChoice.at = clock.now();
      clock.advance(50);
    }
    // The target left right after its announcement, 300 ms before the poll.
    expect(lastChoice.at + 300).toBeLessThanOrEqual(3_000);
    expect(lastChoice.at + 300).toBeGreaterThan(2_000);
    expect(lease.mayDispatch()).toEqual(false);
    expect(pool.candidateCount).toEqual(0);
  });

  it('stops using a leaving target at once and ignores older answers and announcements', () => {
    const clock = new VirtualClock();
    const pool = poolOf(clock);
    pool.update(answer(statusOf('t-0', { sequence: 4 })), 0);
    const lease = pool.tryChoose(ANY)!;
    expect(lease.mayDispatch()).toEqual(true);
    clock.advance(100);
    pool.update(answer(statusOf('t-0', { sequence: 5, state: 'leaving' })), 100);
    expect(lease.mayDispatch()).toEqual(false);
    // Another coordinator has not received the announcement yet.
    pool.update(answer(statusOf('t-0', { sequence: 4 })), 100);
    expect(pool.tryChoose(ANY)).toEqual(undefined);
    // A late answer to an earlier poll.
    pool.update(answer(statusOf('t-0', { sequence: 6 })), 50);
    expect(pool.tryChoose(ANY)).toEqual(undefined);
  });
});

describe('TargetPool: choice', () => {
  it('uses the local data centre while it has capacity, then the others', () => {
    const pool = poolOf(new VirtualClock());
    const remote = statusOf('remote', { dataCentre: 'dc-1' });
    pool.update(answer(statusOf('local', { slots: 1 }), remote), 0);
    expect(new Set(chooseMany(pool, 50))).toEqual(new Set(['local']));
    pool.tryChoose(ANY);
    expect(new Set(chooseMany(pool, 50))).toEqual(new Set(['remote']));
  });

  it('sends only idempotent requests to a target on probation, and only a small share of them', () => {
    const pool = poolOf(new VirtualClock());
    const probation = statusOf('p', { status: 'probation', share: 0.2 });
    pool.update(answer(probation, statusOf('a'), statusOf('b'), statusOf('c')), 0);
    const idempotent = chooseMany(pool, 2_000).filter((target) => target === 'p').length;
    expect(idempotent).toBeGreaterThan(0);
    expect(idempotent).toBeLessThan(2_000 / 4);
    expect(chooseMany(pool, 500, { ...ANY, isIdempotent: false })).not.toInclude('p');
  });

  it('prefers fast targets and never exceeds the slots of a target', () => {
    const clock = new VirtualClock();
    const pool = poolOf(clock);
    pool.update(answer(statusOf('slow'), statusOf('fast')), 0);
    for (let i = 0; i < 50; i += 1) {
      const lease = pool.tryChoose(ANY)!;
      lease.finish('succeeded', lease.target === 'slow' ? 100 : 10);
    }
    const slow = chooseMany(pool, 200).filter((target) => target === 'slow').length;
    expect(slow).toBeLessThan(40);
    const leases = Array.from({ length: 30 }, () => pool.tryChoose(ANY));
    const chosen = leases.filter((lease): lease is TargetLease => lease !== undefined);
    ['slow', 'fast'].forEach((target) => {
      expect(chosen.filter((lease) => lease.target === target).length).toBeLessThanOrEqual(6);
    });
  });

  it('opens the circuit breaker of an unreachable target, sends single trial requests, and keeps the floor', () => {
    const clock = new VirtualClock();
    const pool = poolOf(clock);
    const names = ['a', 'b', 'c', 'cut'];
    const refresh = (): void => pool.update(answer(...names.map((n) => statusOf(n))), clock.now());
    refresh();
    const failures = { count: 0 };
    for (let i = 0; i < 400; i += 1) {
      const lease = pool.tryChoose(ANY);
      const isCut = lease?.target === 'cut';
      if (isCut) failures.count += 1;
      lease?.finish(isCut ? 'failed' : 'succeeded', 10);
      clock.advance(25);
      if (i % 10 === 0) refresh();
    }
    // Four failures open the circuit breaker; then one trial request follows after 1, 2 and 4 s.
    expect(failures.count).toBeLessThanOrEqual(8);
    // When all targets fail, the floor keeps three of the four as candidates.
    for (let i = 0; i < 100; i += 1) pool.tryChoose(ANY)?.finish('failed', 10);
    expect(pool.candidateCount).toBeGreaterThanOrEqual(3);
  });

  it('lowers the limit of a target that the fleet overloads, and raises it again afterwards', () => {
    const clock = new VirtualClock();
    const pool = poolOf(clock);
    const countAvailable = (): number => {
      const leases = Array.from({ length: 10 }, () => pool.tryChoose(ANY));
      leases.forEach((lease) => lease?.finish('cancelled', 0));
      return leases.filter((lease) => lease !== undefined).length;
    };
    const refresh = (fleetOutstanding: number): void => {
      clock.advance(250);
      pool.update(answer(statusOf('t', { fleetOutstanding })), clock.now());
    };
    refresh(0);
    const before = countAvailable();
    for (let i = 0; i < 12; i += 1) refresh(20);
    const loaded = countAvailable();
    for (let i = 0; i < 20; i += 1) {
      refresh(0);
      countAvailable();
    }
    expect(loaded).toBeLessThan(before);
    expect(countAvailable()).toBeGreaterThan(loaded);
  });
});

describe('TargetPool: evidence', () => {
  it('reports each outcome once, and a cancelled request as failed only if it took far longer than usual', () => {
    const pool = poolOf(new VirtualClock());
    pool.update(answer(statusOf('t')), 0);
    const finish = (outcome: 'succeeded' | 'failed' | 'shed' | 'cancelled', ms: number): void => {
      const lease = pool.tryChoose(ANY);
      lease?.finish(outcome, ms);
      lease?.finish(outcome, ms);
    };
    finish('succeeded', 20);
    finish('failed', 20);
    finish('cancelled', 10);
    finish('cancelled', 500);
    finish('shed', 1);
    const counts = pool
      .takeDigest()
      .digests.map(({ succeeded, failed, shed, outstanding }) => [
        succeeded,
        failed,
        shed,
        outstanding,
      ]);
    expect(counts).toEqual([[1, 2, 1, 0]]);
    expect(pool.takeDigest().digests).toEqual([]);
  });

  it('clears a fingerprint that succeeded after its loss, but not one that was lost after its success', () => {
    const pool = poolOf(new VirtualClock());
    pool.update({ ...answer(), suspectedFingerprints: ['a', 'b'], quarantined: ['q'] }, 0);
    pool.reportLost('a', 't');
    pool.reportSucceeded('a');
    pool.reportSucceeded('b');
    pool.reportLost('b', 't');
    pool.reportSucceeded('never lost');
    expect(pool.takeDigest().cleared).toEqual(['a']);
    expect(pool.isQuarantined('q')).toEqual(true);
    expect(pool.isSuspected('b')).toEqual(true);
  });
});
