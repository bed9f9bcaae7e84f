import { describe, it } from 'node:test';
import { expect } from 'earl';
import { ColdTargets, type ColdAnnouncement } from './ColdTargets.js';

const RATE = 5.8;

function makeTargets(): ColdTargets {
  const targets = new ColdTargets();
  targets.setServices([
    { name: 'orders', maxConnections: 1, coldMs: 3_000, coldPerSecond: RATE },
    { name: 'users', maxConnections: 1 },
  ]);
  return targets;
}

function makeAnnouncement(overrides: Partial<ColdAnnouncement> = {}): ColdAnnouncement {
  return {
    id: 'a',
    service: 'orders',
    dataCentre: 'dc-1',
    born: 5,
    seq: 7,
    coldMs: 0,
    receivedAfter: -Infinity,
    ...overrides,
  };
}

describe('ColdTargets', () => {
  it('counts down the announced time, also of a target that has just become known', () => {
    const targets = makeTargets();
    targets.announce(makeAnnouncement({ coldMs: 2_000 }), 1_000);
    expect([1_000, 2_999, 3_000].map((now) => targets.limitOf('a', now))).toEqual([
      RATE,
      RATE,
      undefined,
    ]);
    expect(targets.limitOf('unknown', 0)).toEqual(undefined);
  });

  it('bounds nothing for services without a rate', () => {
    const targets = makeTargets();
    targets.announce(makeAnnouncement({ service: 'users', coldMs: 2_000 }), 0);
    targets.recordFailure('a', 0);
    targets.assumeCold('dc-1', 0);
    expect(targets.limitOf('a', 1)).toEqual(undefined);
  });

  // A hub that lags behind sends what the target said before it became cold again.
  it('ignores older announcements', () => {
    const targets = makeTargets();
    targets.announce(makeAnnouncement({ coldMs: 2_000 }), 0);
    targets.announce(makeAnnouncement({ seq: 6 }), 10);
    targets.announce(makeAnnouncement({ born: 4, seq: 90 }), 10);
    expect(targets.limitOf('a', 1_000)).toEqual(RATE);
    targets.announce(makeAnnouncement({ seq: 8 }), 10);
    expect(targets.limitOf('a', 1_000)).toEqual(undefined);
    targets.announce(makeAnnouncement({ born: 6, seq: 1, coldMs: 500 }), 2_000);
    expect(targets.limitOf('a', 2_100)).toEqual(RATE);
  });

  // A snapshot of another hub repeats the announcement, some time later.
  it('does not extend the time by a repeated announcement that arrives late', () => {
    const targets = makeTargets();
    targets.announce(makeAnnouncement({ coldMs: 2_000 }), 0);
    targets.announce(makeAnnouncement({ coldMs: 2_000 }), 300);
    expect(targets.limitOf('a', 2_000)).toEqual(undefined);
  });

  // An announcement from before the failure arrives after it, and does not show that the target is warm.
  it('assumes that a target is cold after a failure until a newer announcement, at most for its cold time', () => {
    const targets = makeTargets();
    targets.announce(makeAnnouncement(), 0);
    targets.recordFailure('a', 1_000);
    targets.announce(makeAnnouncement({ seq: 8, receivedAfter: 1_000 }), 1_100);
    expect(targets.limitOf('a', 1_200)).toEqual(RATE);
    targets.announce(makeAnnouncement({ seq: 9, receivedAfter: 1_001 }), 1_300);
    expect(targets.limitOf('a', 1_300)).toEqual(undefined);
    targets.recordFailure('a', 2_000);
    expect(targets.limitOf('a', 4_999)).toEqual(RATE);
    expect(targets.limitOf('a', 5_000)).toEqual(undefined);
  });

  it('treats the targets of a data centre as cold, also those that become known with an older announcement', () => {
    const targets = makeTargets();
    targets.announce(makeAnnouncement(), 0);
    targets.assumeCold('dc-1', 1_000);
    targets.announce(makeAnnouncement({ id: 'b', receivedAfter: 900 }), 1_100);
    targets.announce(makeAnnouncement({ id: 'c', receivedAfter: 1_050 }), 1_100);
    targets.announce(makeAnnouncement({ id: 'd', dataCentre: 'dc-2' }), 1_100);
    expect(['a', 'b', 'c', 'd'].map((id) => targets.limitOf(id, 1_200))).toEqual([
      RATE,
      RATE,
      undefined,
      undefined,
    ]);
    expect(targets.limitOf('a', 4_000)).toEqual(undefined);
  });
});
