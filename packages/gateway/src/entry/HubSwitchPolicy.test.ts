/** Load pattern: all control VMs restart at once, and forty entries follow the first one that is up. */
import { describe, it } from 'node:test';
import { Random } from '@marigoldbank/base/random';
import { expect } from 'earl';
import { HubPatience, type HubView } from './HubSwitchPolicy.js';

const CHECK_MS = 150;

/** Time from the start of the control VMs to the first confirmation, with a slow election. */
const LEADERLESS_MS = 2_500;

function makeView(overrides: Partial<HubView> = {}): HubView {
  return {
    followedAt: 0,
    heardAt: 0,
    confirmedAgeMs: 100,
    isLeaderless: false,
    hasPlan: true,
    hasNearer: false,
    ...overrides,
  };
}

function makePatience(random = new Random(1)): HubPatience {
  const patience = new HubPatience(random);
  patience.begin();
  return patience;
}

/** Time at which a hub that stays as it is would be left. */
function timeOfLeaving(overrides: Partial<HubView>, limitMs: number, random?: Random): number {
  const patience = makePatience(random);
  const checks = Array.from({ length: limitMs / CHECK_MS }, (_, i) => (i + 1) * CHECK_MS);
  return (
    checks.find((now) => patience.reasonToLeave(makeView({ heardAt: now, ...overrides }), now)) ??
    Infinity
  );
}

describe('HubPatience', () => {
  it('leaves a silent hub', () => {
    expect(makePatience().reasonToLeave(makeView(), 1_000)).toEqual('silent');
  });

  it('judges a hub by its own messages, not by the age of those of the last one', () => {
    const view = makeView({ followedAt: undefined, confirmedAgeMs: 9_000 });
    expect(makePatience().reasonToLeave(view, 800)).toEqual(undefined);
    expect(makePatience().reasonToLeave(view, 1_000)).toEqual('silent');
  });

  it('gives a hub more time while it has no plan itself, since both have just started', () => {
    const view = makeView({ hasPlan: false });
    expect(makePatience().reasonToLeave(view, 2_000)).toEqual(undefined);
    expect(makePatience().reasonToLeave(view, 3_000)).toEqual('silent');
    const lagging = { ...view, heardAt: 2_000, confirmedAgeMs: 1_000_000 };
    expect(makePatience().reasonToLeave(lagging, 2_000)).toEqual(undefined);
  });

  it('stays at a confirmed hub', () => {
    expect(timeOfLeaving({}, 30_000)).toEqual(Infinity);
  });

  it('leaves a hub that is cut off from the others in time for changes that they acknowledge', () => {
    expect(timeOfLeaving({ confirmedAgeMs: 5_000 }, 30_000)).toBeLessThan(800);
    const longFollowed = makeView({ heardAt: 60_000, confirmedAgeMs: 1_400 });
    expect(makePatience().reasonToLeave(longFollowed, 60_000)).toEqual('unconfirmed');
  });

  it('stays at a hub that it has followed for long when the group loses its leader', () => {
    const view = makeView({ heardAt: 60_000, confirmedAgeMs: 2_000, isLeaderless: true });
    expect(makePatience().reasonToLeave(view, 60_000)).toEqual(undefined);
    expect(makePatience().reasonToLeave({ ...view, confirmedAgeMs: 20_000 }, 60_000)).toEqual(
      'unconfirmed',
    );
  });

  it('keeps all entries where they are while the control VMs elect a leader', () => {
    const random = new Random(1);
    const times = Array.from({ length: 40 }, () =>
      timeOfLeaving({ confirmedAgeMs: 1_000_000, isLeaderless: true }, 30_000, random),
    );
    expect(Math.min(...times)).toBeGreaterThan(LEADERLESS_MS);
  });

  it('spreads the return to nearer hubs over seconds', () => {
    const random = new Random(1);
    const times = Array.from({ length: 40 }, () =>
      timeOfLeaving({ hasNearer: true }, 30_000, random),
    );
    expect(Math.max(...times) - Math.min(...times)).toBeGreaterThan(3_000);
  });

  it('waits longer at each further hub that is not confirmed', () => {
    const patience = makePatience();
    const stays = [0, 0, 0].map(() => {
      const checks = Array.from({ length: 200 }, (_, i) => (i + 1) * CHECK_MS);
      return checks.find((now) =>
        patience.reasonToLeave(makeView({ heardAt: now, confirmedAgeMs: 9_000 }), now),
      )!;
    });
    expect(stays).toEqual([...stays].sort((a, b) => a - b));
    expect(stays[2]! / stays[0]!).toBeGreaterThan(2);
  });
});
