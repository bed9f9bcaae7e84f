import { describe, it } from 'node:test';
import { VirtualClock } from '@marigoldbank/base/virtual-clock';
import { NullLogger } from '@marigoldbank/daemon/telemetry/NullLogger';
import type { LogStatus, ReadOutcome } from '@marigoldbank/replicated-log';
import { expect } from 'earl';
import { HubFreshness } from './HubFreshness.js';

interface Fixture {
  readonly clock: VirtualClock;
  readonly standing: HubFreshness;
  readonly told: number[];
  readonly set: (changes: Partial<State>) => void;
}

interface State {
  role: LogStatus['role'];
  commitIndex: number;
  hearsMajority: boolean;
}

function makeStanding(): Fixture {
  const clock = new VirtualClock();
  const state: State = { role: 'follower', commitIndex: 0, hearsMajority: true };
  const self = { vm: 'c1', incarnation: 'c1-1', address: 'c1:1' };
  const told: number[] = [];
  const standing = new HubFreshness({
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
    hearsMajority: () => state.hearsMajority,
    tellConfirmed: (index) => told.push(index),
  });
  return { clock, standing, told, set: (changes) => Object.assign(state, changes) };
}

describe('HubStanding', () => {
  it('withholds the plan until a leader has confirmed it, but not for good', () => {
    const { clock, standing, set } = makeStanding();
    standing.noteConfirmed(5);
    expect(standing.mayTellPlan).toEqual(false);
    set({ commitIndex: 5 });
    standing.update();
    expect(standing.mayTellPlan).toEqual(true);
    const other = makeStanding();
    other.clock.advance(11_000);
    expect(other.standing.mayTellPlan).toEqual(true);
    expect(clock.now()).toEqual(0);
  });

  it('confirms itself and the others while it leads', async () => {
    const { standing, told, set } = makeStanding();
    set({ role: 'leader', commitIndex: 7 });
    standing.update();
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
    expect([told, standing.confirmedAgeMs()]).toEqual([[7], 0]);
  });

  it('is leaderless when it hears a majority without a leader, not when it is cut off', () => {
    const { clock, standing, set } = makeStanding();
    standing.noteConfirmed(0);
    expect(standing.isLeaderless(clock.now())).toEqual(false);
    clock.advance(2_000);
    expect(standing.isLeaderless(clock.now())).toEqual(true);
    set({ hearsMajority: false });
    expect(standing.isLeaderless(clock.now())).toEqual(false);
  });

  it('counts as leaderless when it has just started, unless a leader is ahead of it', () => {
    const { clock, standing, set } = makeStanding();
    set({ hearsMajority: false });
    expect(standing.isLeaderless(clock.now())).toEqual(true);
    standing.noteConfirmed(9);
    expect(standing.isLeaderless(clock.now())).toEqual(false);
    const old = makeStanding();
    old.set({ hearsMajority: false });
    old.clock.advance(5_000);
    expect(old.standing.isLeaderless(old.clock.now())).toEqual(false);
  });
});
