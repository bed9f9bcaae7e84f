/**
 * Load pattern: a team sends several times its usual while the control VMs are split, have no leader or find one again.
 * Every token that is lent counts, whoever lends it.
 */
import { describe, it } from 'node:test';
import { NullLogger } from '@marigoldbank/daemon/telemetry/NullLogger';
import { makeTeam } from '@marigoldbank/routing/fixtures';
import { expect } from 'earl';
import { TeamBudgets } from './TeamBudgets.js';

const TICK_MS = 200;
const WINDOW_MS = 5_000;
const OVERSHOOT = 0.1;
const SLACK = 20;
const RATE = 85;
const ENTRIES_PER_HUB = 13;
const HUBS = 3;

/** A hub notices after this time that another one is silent. */
const PEER_SILENCE_MS = 3_000;

interface Situation {
  /** Index of the leader, undefined while there is none. */
  readonly leader: number | undefined;
  /** Hubs that the leader does not reach, and since when. */
  readonly cutOff: readonly number[];
  readonly since: number;
}

interface Play {
  readonly granted: readonly number[];
  readonly refused: readonly number[];
}

/** Plays hubs whose entries ask for a token each time; requests come evenly at all hubs. */
function play(requestsPerS: number, endMs: number, situationAt: (now: number) => Situation): Play {
  const clock = { now: 0 };
  const isCut = (hub: number): boolean => situationAt(clock.now).cutOff.includes(hub);
  const missing = (): number => {
    const { cutOff, since } = situationAt(clock.now);
    return clock.now - since > PEER_SILENCE_MS ? cutOff.length * ENTRIES_PER_HUB : 0;
  };
  const heardAt = Array.from({ length: HUBS }, () => 0);
  const hubs: TeamBudgets[] = heardAt.map(
    (_, hub) =>
      new TeamBudgets({
        logger: new NullLogger(),
        isLeader: () => situationAt(clock.now).leader === hub,
        leaderHeardAt: () => {
          const { leader } = situationAt(clock.now);
          if (leader === undefined) return -Infinity;
          if (!isCut(hub)) heardAt[hub] = clock.now;
          return heardAt[hub]!;
        },
        entries: () => ({
          own: ENTRIES_PER_HUB,
          followed: HUBS * ENTRIES_PER_HUB - missing(),
          expected: HUBS * ENTRIES_PER_HUB,
        }),
        tellEntries: () => undefined,
        tellHubs: (modes) =>
          hubs.forEach((other, i) => {
            if (i !== hub && !isCut(i)) other.adoptModes(modes);
          }),
      }),
  );
  hubs.forEach((hub) => hub.setTeams([makeTeam({ ratePerSecond: RATE, burst: RATE })], 0));
  const granted: number[] = [];
  const refused: number[] = [];
  const stepMs = 1_000 / requestsPerS;
  let tickedAt = -TICK_MS;
  for (let i = 0; i * stepMs < endMs; i += 1) {
    clock.now = i * stepMs;
    if (clock.now - tickedAt >= TICK_MS) {
      tickedAt = clock.now;
      hubs.forEach((hub) => hub.tick(clock.now));
    }
    const hub = i % HUBS;
    const { leader } = situationAt(clock.now);
    const lender = hubs[hub]!.isLending ? hub : leader;
    const isReached = lender === hub || !isCut(hub);
    const isGranted =
      lender !== undefined &&
      isReached &&
      hubs[lender]!.take('north', clock.now).kind === 'granted';
    (isGranted ? granted : refused).push(clock.now);
  }
  return { granted, refused };
}

function mostInWindow(times: readonly number[]): number {
  return Math.max(
    ...times.map((start) => times.filter((at) => at >= start && at <= start + WINDOW_MS).length),
  );
}

const LIMIT = (RATE * (WINDOW_MS / 1_000) + RATE) * (1 + OVERSHOOT) + SLACK;
const CALM: Situation = { leader: 0, cutOff: [], since: 0 };

describe('TeamLending', () => {
  const situations: readonly [string, (now: number) => Situation][] = [
    ['with a leader', () => CALM],
    [
      'while a hub is cut off',
      (now) => (now < 4_000 ? CALM : { leader: 0, cutOff: [2], since: 4_000 }),
    ],
    [
      'while no hub leads',
      (now) => (now < 4_000 ? CALM : { leader: undefined, cutOff: [], since: 4_000 }),
    ],
    [
      'when another hub leads after an election',
      (now) => {
        if (now < 4_000) return CALM;
        return { leader: now < 5_000 ? undefined : 1, cutOff: [], since: 4_000 };
      },
    ],
    [
      'when the old leader is cut off and the others elect one',
      (now) => {
        if (now < 4_000) return CALM;
        if (now < 5_000) return { leader: undefined, cutOff: [0], since: 4_000 };
        return { leader: 1, cutOff: [0], since: 4_000 };
      },
    ],
  ];
  situations.forEach(([title, situationAt]) => {
    it(`keeps a team that sends eight times its usual to its rate ${title}`, () => {
      const { granted } = play((RATE / 1.6) * 8, 14_000, situationAt);
      expect(mostInWindow(granted)).toBeLessThan(LIMIT);
    });
  });

  it('refuses no more than one request in ten of a team within its rate while no hub leads', () => {
    const { granted, refused } = play(RATE / 1.6, 14_000, (now) =>
      now < 4_000 ? CALM : { leader: undefined, cutOff: [], since: 4_000 },
    );
    const isLate = (at: number): boolean => at > 4_000;
    const lost = refused.filter(isLate).length;
    expect(lost / (lost + granted.filter(isLate).length)).toBeLessThan(0.1);
  });

  it('refuses no more than one request in ten at a hub that is cut off', () => {
    const { granted, refused } = play(RATE / 1.6, 14_000, (now) =>
      now < 4_000 ? CALM : { leader: 0, cutOff: [2], since: 4_000 },
    );
    // The hub notices the loss of its leader after 1.2 s; its entries decide alone until then.
    const isLate = (at: number): boolean => at > 5_500;
    const lost = refused.filter(isLate).length;
    expect(lost / (lost + granted.filter(isLate).length)).toBeLessThan(0.1);
  });
});
