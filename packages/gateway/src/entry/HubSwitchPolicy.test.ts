/**
 * Guards against entries that leave their hub too early or too late. In particular, all control VMs may restart at once
 * and forty entries follow the first one that is up: entries that move then would delay the election of a leader.
 */
import { describe, it } from 'node:test';
import { Random } from '@marigoldbank/base/random';
import { expect } from 'earl';
import { HubSwitchPolicy, type FollowedHub } from './HubSwitchPolicy.js';

const CHECK_MS = 150;

/** Time from the start of the control VMs to the first confirmation if the election is slow. */
const LEADERLESS_MS = 2_500;

function makeHub(overrides: Partial<FollowedHub> = {}): FollowedHub {
  return {
    firstMessageAt: 0,
    lastMessageAt: 0,
    confirmedAgeMs: 100,
    isLeaderless: false,
    isCutOff: false,
    hasAlternative: true,
    hasPlan: true,
    isStarting: false,
    betterHubReason: undefined,
    ...overrides,
  };
}

function makePolicy(random = new Random(1)): HubSwitchPolicy {
  const policy = new HubSwitchPolicy(random);
  policy.startFollowing();
  return policy;
}

/** Time at which the policy would leave a hub whose state does not change. */
function timeOfLeaving(overrides: Partial<FollowedHub>, limitMs: number, random?: Random): number {
  const policy = makePolicy(random);
  const checks = Array.from({ length: limitMs / CHECK_MS }, (_, i) => (i + 1) * CHECK_MS);
  return (
    checks.find((now) =>
      policy.reasonToLeave(makeHub({ lastMessageAt: now, ...overrides }), now),
    ) ?? Infinity
  );
}

describe('HubSwitchPolicy', () => {
  it('leaves a silent hub', () => {
    expect(makePolicy().reasonToLeave(makeHub(), 1_000)).toEqual('silent');
  });

  it('ignores the confirmation age of the previous hub until the first message of the new one', () => {
    const hub = makeHub({ firstMessageAt: undefined, confirmedAgeMs: 9_000 });
    expect(makePolicy().reasonToLeave(hub, 800)).toEqual(undefined);
    expect(makePolicy().reasonToLeave(hub, 1_000)).toEqual('silent');
  });

  it('waits longer for a hub while the entry has no plan, since both have just started', () => {
    const hub = makeHub({ hasPlan: false });
    expect(makePolicy().reasonToLeave(hub, 2_000)).toEqual(undefined);
    expect(makePolicy().reasonToLeave(hub, 3_000)).toEqual('silent');
    const lagging = { ...hub, lastMessageAt: 2_000, confirmedAgeMs: 1_000_000 };
    expect(makePolicy().reasonToLeave(lagging, 2_000)).toEqual(undefined);
  });

  it('stays at a confirmed hub', () => {
    expect(timeOfLeaving({}, 30_000)).toEqual(Infinity);
  });

  it('leaves a partitioned hub within 800 ms, since it may miss changes that the others acknowledge', () => {
    const partitioned = { isCutOff: true, hasAlternative: false };
    expect(timeOfLeaving({ ...partitioned, confirmedAgeMs: 5_000 }, 30_000)).toBeLessThan(800);
    const longFollowed = makeHub({ ...partitioned, lastMessageAt: 60_000, confirmedAgeMs: 1_400 });
    expect(makePolicy().reasonToLeave(longFollowed, 60_000)).toEqual('unconfirmed');
  });

  // Entries that left a late hub at the same moment made the next hub late with their connections.
  it('spreads the switch from a late hub over a second, and does not take longer', () => {
    const random = new Random(1);
    const times = Array.from({ length: 40 }, () =>
      timeOfLeaving({ confirmedAgeMs: 5_000 }, 30_000, random),
    );
    expect(Math.max(...times) - Math.min(...times)).toBeGreaterThan(600);
    expect(Math.max(...times)).toBeLessThan(1_700);
  });

  it('stays at a late hub while no other one is better', () => {
    const late = { confirmedAgeMs: 3_000, hasAlternative: false };
    expect(timeOfLeaving(late, 30_000)).toEqual(Infinity);
    expect(timeOfLeaving({ ...late, confirmedAgeMs: 20_000 }, 30_000)).toBeGreaterThan(4_000);
  });

  it('stays at a hub that it has followed for long when the control VMs lose their leader', () => {
    const hub = makeHub({ lastMessageAt: 60_000, confirmedAgeMs: 2_000, isLeaderless: true });
    expect(makePolicy().reasonToLeave(hub, 60_000)).toEqual(undefined);
    expect(makePolicy().reasonToLeave({ ...hub, confirmedAgeMs: 20_000 }, 60_000)).toEqual(
      'unconfirmed',
    );
  });

  it('keeps all entries at their hubs while the control VMs elect a leader', () => {
    const random = new Random(1);
    const times = Array.from({ length: 40 }, () =>
      timeOfLeaving({ confirmedAgeMs: 1_000_000, isLeaderless: true }, 30_000, random),
    );
    expect(Math.min(...times)).toBeGreaterThan(LEADERLESS_MS);
  });

  it('spreads the switch to closer hubs over seconds', () => {
    const random = new Random(1);
    const times = Array.from({ length: 40 }, () =>
      timeOfLeaving({ betterHubReason: 'far' }, 30_000, random),
    );
    expect(Math.max(...times) - Math.min(...times)).toBeGreaterThan(3_000);
  });

  it('stays for a random time after another hub has become better, however long it has been there', () => {
    const random = new Random(2);
    const times = Array.from({ length: 40 }, () => {
      const policy = makePolicy(random);
      const checks = Array.from({ length: 400 }, (_, i) => i * CHECK_MS);
      return checks.find((now) => {
        const betterHubReason = now > 30_000 ? 'crowded' : undefined;
        return policy.reasonToLeave(makeHub({ lastMessageAt: now, betterHubReason }), now);
      });
    });
    const known = times.map((time) => time ?? Infinity);
    expect(Math.min(...known)).toBeGreaterThan(34_000);
    expect(Math.max(...known) - Math.min(...known)).toBeGreaterThan(3_000);
  });

  it('waits longer at each further hub that is not confirmed', () => {
    const policy = makePolicy();
    const stays = [0, 0, 0].map(() => {
      const checks = Array.from({ length: 200 }, (_, i) => (i + 1) * CHECK_MS);
      const leftAt = checks.find((now) =>
        policy.reasonToLeave(
          makeHub({ lastMessageAt: now, confirmedAgeMs: 9_000, isCutOff: true }),
          now,
        ),
      )!;
      policy.recordUnconfirmed();
      return leftAt;
    });
    expect(stays).toEqual([...stays].sort((a, b) => a - b));
    expect(stays[2]! / stays[0]!).toBeGreaterThan(2);
  });
});
