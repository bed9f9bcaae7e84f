import { describe, it } from 'node:test';
import type { LogStatus, Member } from '@marigoldbank/replicated-log';
import { expect } from 'earl';
import { nextVoterChange, UNREACHABLE_MS, type VoterChangeInputs } from './nextVoterChange.js';

const COMMITTED = 10;
const NOW = 100_000;

function makeMember(vm: string, incarnation = 'first'): Member {
  return { vm, incarnation, address: `${vm}:1` };
}

interface Group {
  readonly voters: readonly Member[];
  readonly learners?: readonly Member[];
  /** VMs without contact for too long. */
  readonly unreachable?: readonly string[];
  /** Learners whose log lags behind the commit index. */
  readonly behind?: readonly string[];
}

function makeStatus({ voters, learners = [], unreachable = [], behind = [] }: Group): LogStatus {
  const progress = [...voters, ...learners].map((member) => ({
    member,
    isLearner: learners.includes(member),
    matchIndex: behind.includes(member.vm) ? 1 : COMMITTED,
    lastContactAt: unreachable.includes(member.vm) ? NOW - UNREACHABLE_MS - 1 : NOW,
  }));
  return {
    self: voters[0]!,
    role: 'leader',
    term: 3,
    commitIndex: COMMITTED,
    lastIndex: COMMITTED,
    leader: voters[0],
    membership: { voters, learners },
    progress,
  };
}

function makeInputs(overrides: Partial<VoterChangeInputs> = {}): VoterChangeInputs {
  return { desired: 3, leaving: [], now: NOW, leaderSince: 0, ...overrides };
}

const voters = ['a', 'b', 'c'].map((vm) => makeMember(vm));

describe('nextVoterChange', () => {
  it('changes nothing while all voters are reachable', () => {
    const status = makeStatus({ voters, learners: [makeMember('d')] });
    expect(nextVoterChange(status, makeInputs())).toEqual(undefined);
  });

  it('promotes a learner while voters are missing, once it has caught up', () => {
    const group = { voters: voters.slice(0, 2), learners: [makeMember('d')] };
    const waiting = makeStatus({ ...group, behind: ['d'] });
    expect(nextVoterChange(waiting, makeInputs())).toEqual(undefined);
    expect(nextVoterChange(makeStatus(group), makeInputs())).toEqual({ kind: 'promote', vm: 'd' });
  });

  it('replaces an unreachable voter only if a learner is available, which is promoted first', () => {
    const alone = makeStatus({ voters, unreachable: ['b'] });
    expect(nextVoterChange(alone, makeInputs())).toEqual(undefined);
    const helped = makeStatus({ voters, learners: [makeMember('d')], unreachable: ['b'] });
    expect(nextVoterChange(helped, makeInputs())).toEqual({ kind: 'promote', vm: 'd' });
    const promoted = makeStatus({ voters: [...voters, makeMember('d')], unreachable: ['b'] });
    const removal = { kind: 'remove', member: voters[1]! } as const;
    expect(nextVoterChange(promoted, makeInputs())).toEqual(removal);
  });

  it('replaces a voter that is about to stop', () => {
    const inputs = makeInputs({ leaving: [voters[1]!] });
    const helped = makeStatus({ voters, learners: [makeMember('d')] });
    expect(nextVoterChange(helped, inputs)).toEqual({ kind: 'promote', vm: 'd' });
    const promoted = makeStatus({ voters: [...voters, makeMember('d')] });
    const removal = { kind: 'remove', member: voters[1]! } as const;
    expect(nextVoterChange(promoted, inputs)).toEqual(removal);
  });

  it('removes one voter too many if the unreachable one is back', () => {
    const promoted = makeStatus({ voters: [...voters, makeMember('d')] });
    const removal = { kind: 'remove', member: makeMember('d') } as const;
    expect(nextVoterChange(promoted, makeInputs())).toEqual(removal);
  });

  it('keeps founders in excess of the desired voters', () => {
    const status = makeStatus({ voters, unreachable: ['b'] });
    expect(nextVoterChange(status, makeInputs({ desired: 1 }))).toEqual(undefined);
    const pair = makeStatus({ voters: voters.slice(0, 2) });
    expect(nextVoterChange(pair, makeInputs({ desired: 1 }))).toEqual(undefined);
  });

  it('does not count the time before this member became leader as lost contact', () => {
    const status = makeStatus({ voters, learners: [makeMember('d')], unreachable: ['b'] });
    expect(nextVoterChange(status, makeInputs({ leaderSince: NOW - 100 }))).toEqual(undefined);
  });

  it('removes a voter whose disk was replaced once its new incarnation has caught up', () => {
    const renewed = makeMember('b', 'second');
    const status = makeStatus({ voters, learners: [renewed] });
    expect(nextVoterChange(status, makeInputs())).toEqual({ kind: 'remove', member: voters[1]! });
  });
});
