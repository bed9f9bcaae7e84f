import { describe, it } from 'node:test';
import { VirtualClock } from '@marigoldbank/base/virtual-clock';
import { NullLogger } from '@marigoldbank/daemon/telemetry/NullLogger';
import { expect } from 'earl';
import { HubFreshness } from './HubFreshness.js';

interface State {
  confirmedAt: number;
  leaderSeenAt: number;
  reachesMajority: boolean;
  hasOneOnTime: boolean;
  answerDelayMs: number;
  isAnswering: boolean;
}

interface Fixture {
  readonly clock: VirtualClock;
  readonly freshness: HubFreshness;
  readonly set: (changes: Partial<State>) => void;
}

function makeFreshness(): Fixture {
  const clock = new VirtualClock();
  const state: State = {
    confirmedAt: -Infinity,
    leaderSeenAt: -Infinity,
    reachesMajority: true,
    hasOneOnTime: false,
    answerDelayMs: 0,
    isAnswering: true,
  };
  const freshness = new HubFreshness({
    clock,
    log: {
      isLeader: false,
      leader: undefined,
      voters: ['c1'],
      get confirmedAt() {
        return state.confirmedAt;
      },
      get leaderSeenAt() {
        return state.leaderSeenAt;
      },
      get answerDelayMs() {
        return state.answerDelayMs;
      },
      get isAnswering() {
        return state.isAnswering;
      },
    },
    logger: new NullLogger(),
    reachesMajority: () => state.reachesMajority,
    hasOneOnTime: () => state.hasOneOnTime,
  });
  return { clock, freshness, set: (changes) => Object.assign(state, changes) };
}

describe('HubFreshness', () => {
  it('withholds the plan until a leader has confirmed it, but only for a limited time', () => {
    const { clock, freshness, set } = makeFreshness();
    set({ leaderSeenAt: 0 });
    expect(freshness.maySendPlan).toEqual(false);
    set({ confirmedAt: 0 });
    expect(freshness.maySendPlan).toEqual(true);
    const other = makeFreshness();
    other.clock.advance(11_000);
    expect(other.freshness.maySendPlan).toEqual(true);
    expect(clock.now()).toEqual(0);
  });

  it('is late once the last confirmation of its state is older than 1.3 s', () => {
    const { clock, freshness, set } = makeFreshness();
    expect(freshness.isLate).toEqual(false);
    set({ confirmedAt: 0, leaderSeenAt: 0 });
    clock.advance(1_300);
    expect([freshness.isLate, freshness.confirmedAgeMs()]).toEqual([false, 1_300]);
    clock.advance(1);
    expect(freshness.isLate).toEqual(true);
    set({ confirmedAt: clock.now() - 1_000 });
    expect(freshness.isLate).toEqual(false);
    set({ answerDelayMs: 301 });
    expect(freshness.isLate).toEqual(true);
  });

  it('is leaderless if it reaches a majority without a leader, but not if it is partitioned', () => {
    const { clock, freshness, set } = makeFreshness();
    set({ confirmedAt: 0, leaderSeenAt: 0 });
    expect(freshness.isLeaderless(clock.now())).toEqual(false);
    clock.advance(2_000);
    expect(freshness.isLeaderless(clock.now())).toEqual(true);
    set({ reachesMajority: false });
    expect(freshness.isLeaderless(clock.now())).toEqual(false);
  });

  // Its entries stayed for 5 s when a hub heard the others, whose messages to it arrived, and was not heard by them.
  it('is not leaderless while another hub is confirmed, once that hub would know otherwise', () => {
    const { clock, freshness, set } = makeFreshness();
    set({ confirmedAt: 0, leaderSeenAt: 0, hasOneOnTime: true });
    clock.advance(1_900);
    expect(freshness.isLeaderless(clock.now())).toEqual(true);
    clock.advance(101);
    expect([freshness.isLeaderless(clock.now()), freshness.isCutOff(clock.now())]).toEqual([
      false,
      false,
    ]);
  });

  it('is late, and neither leaderless nor cut off, if its log process does not answer', () => {
    const { clock, freshness, set } = makeFreshness();
    clock.advance(5_000);
    set({ confirmedAt: 4_500, leaderSeenAt: 4_500, isAnswering: false });
    const states = (): boolean[] => [
      freshness.isLate,
      freshness.isLeaderless(clock.now()),
      freshness.isCutOff(clock.now()),
    ];
    expect(states()).toEqual([true, false, false]);
    clock.advance(5_000);
    expect(states()).toEqual([true, false, false]);
  });

  it('counts as leaderless after its start, unless a leader with a higher index confirms', () => {
    const { clock, freshness, set } = makeFreshness();
    set({ reachesMajority: false });
    expect(freshness.isLeaderless(clock.now())).toEqual(true);
    set({ leaderSeenAt: 0 });
    expect(freshness.isLeaderless(clock.now())).toEqual(false);
    const longRunning = makeFreshness();
    longRunning.set({ reachesMajority: false });
    longRunning.clock.advance(5_000);
    expect(longRunning.freshness.isLeaderless(longRunning.clock.now())).toEqual(false);
  });
});
