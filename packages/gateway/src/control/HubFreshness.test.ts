import { describe, it } from 'node:test';
import { VirtualClock } from '@marigoldbank/base/virtual-clock';
import { NullLogger } from '@marigoldbank/daemon/telemetry/NullLogger';
import type { LogStatus, ReadOutcome } from '@marigoldbank/replicated-log';
import { expect } from 'earl';
import { HubFreshness } from './HubFreshness.js';

interface Fixture {
  readonly clock: VirtualClock;
  readonly freshness: HubFreshness;
  readonly broadcast: number[];
  readonly set: (changes: Partial<State>) => void;
}

interface State {
  role: LogStatus['role'];
  commitIndex: number;
  reachesMajority: boolean;
}

function makeFreshness(): Fixture {
  const clock = new VirtualClock();
  const state: State = { role: 'follower', commitIndex: 0, reachesMajority: true };
  const self = { vm: 'c1', incarnation: 'c1-1', address: 'c1:1' };
  const broadcast: number[] = [];
  const freshness = new HubFreshness({
    clock,
    log: {
      status: (): LogStatus => ({
        role: state.role,
        term: 1,
        self,
        leader: undefined,
        membership: { voters: [self], learners: [] },
        lastIndex: state.commitIndex,
        commitIndex: state.commitIndex,
        progress: [],
      }),
      confirmRead: (): Promise<ReadOutcome> =>
        Promise.resolve({ kind: 'confirmed', index: state.commitIndex }),
    },
    logger: new NullLogger(),
    reachesMajority: () => state.reachesMajority,
    broadcastConfirmed: (index) => broadcast.push(index),
  });
  return { clock, freshness, broadcast, set: (changes) => Object.assign(state, changes) };
}

describe('HubFreshness', () => {
  it('withholds the plan until a leader has confirmed it, but only for a limited time', () => {
    const { clock, freshness, set } = makeFreshness();
    freshness.noteConfirmed(5, 0);
    expect(freshness.maySendPlan).toEqual(false);
    set({ commitIndex: 5 });
    freshness.update();
    expect(freshness.maySendPlan).toEqual(true);
    const other = makeFreshness();
    other.clock.advance(11_000);
    expect(other.freshness.maySendPlan).toEqual(true);
    expect(clock.now()).toEqual(0);
  });

  it('as leader, confirms its own state and that of the other hubs', async () => {
    const { freshness, broadcast, set } = makeFreshness();
    set({ role: 'leader', commitIndex: 7 });
    freshness.update();
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
    expect([broadcast, freshness.confirmedAgeMs()]).toEqual([[7], 0]);
  });

  it('is leaderless if it reaches a majority without a leader, but not if it is partitioned', () => {
    const { clock, freshness, set } = makeFreshness();
    freshness.noteConfirmed(0, clock.now());
    expect(freshness.isLeaderless(clock.now())).toEqual(false);
    clock.advance(2_000);
    expect(freshness.isLeaderless(clock.now())).toEqual(true);
    set({ reachesMajority: false });
    expect(freshness.isLeaderless(clock.now())).toEqual(false);
  });

  it('counts as leaderless after its start, unless a leader with a higher index confirms', () => {
    const { clock, freshness, set } = makeFreshness();
    set({ reachesMajority: false });
    expect(freshness.isLeaderless(clock.now())).toEqual(true);
    freshness.noteConfirmed(9, 0);
    expect(freshness.isLeaderless(clock.now())).toEqual(false);
    const longRunning = makeFreshness();
    longRunning.set({ reachesMajority: false });
    longRunning.clock.advance(5_000);
    expect(longRunning.freshness.isLeaderless(longRunning.clock.now())).toEqual(false);
  });
});
