import { describe, it } from 'node:test';
import type { LogStatus, Member } from '@marigoldbank/replicated-log';
import { expect } from 'earl';
import { nextVoterChange, SILENT_MS, type VoterChangeInputs } from './nextVoterChange.js';

const COMMITTED = 10;
const NOW = 100_000;

function makeMember(vm: string, incarnation = 'first'): Member {
  return { vm, incarnation, address: `${vm}:1` };
}

interface Group {
  readonly voters: readonly Member[];
  readonly learners?: readonly Member[];
  /** VMs that were silent for too long. */
  readonly silent?: readonly string[];
  /** Learners that hold less than is committed. */
  readonly behind?: readonly string[];
}

function makeStatus({ voters, learners = [], silent = [], behind = [] }: Group): LogStatus {
  const progress = [...voters, ...learners].map((member) => ({
    member,
    isLearner: learners.includes(member),
    matchIndex: behind.includes(member.vm) ? 1 : COMMITTED,
    lastContactAt: silent.includes(member.vm) ? NOW - SILENT_MS - 1 : NOW,
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

function makeNeeds(overrides: Partial<VoterChangeInputs> = {}): VoterChangeInputs {
  return { wanted: 3, joined: [], now: NOW, leaderSince: 0, ...overrides };
}

const voters = ['a', 'b', 'c'].map((vm) => makeMember(vm));

describe('planVoterChange', () => {
  it('changes nothing while all voters are heard', () => {
    const status = makeStatus({ voters, learners: [makeMember('d')] });
    expect(nextVoterChange(status, makeNeeds())).toEqual(undefined);
  });

  it('promotes a learner while voters are missing, once it holds everything', () => {
    const group = { voters: voters.slice(0, 2), learners: [makeMember('d')] };
    const waiting = makeStatus({ ...group, behind: ['d'] });
    expect(nextVoterChange(waiting, makeNeeds())).toEqual(undefined);
    expect(nextVoterChange(makeStatus(group), makeNeeds())).toEqual({ kind: 'promote', vm: 'd' });
  });

  it('removes a silent voter only when a learner stands by', () => {
    const alone = makeStatus({ voters, silent: ['b'] });
    expect(nextVoterChange(alone, makeNeeds())).toEqual(undefined);
    const helped = makeStatus({ voters, learners: [makeMember('d')], silent: ['b'] });
    expect(nextVoterChange(helped, makeNeeds())).toEqual({ kind: 'remove', member: voters[1]! });
  });

  it('does not blame voters for the time before this member led', () => {
    const status = makeStatus({ voters, learners: [makeMember('d')], silent: ['b'] });
    expect(nextVoterChange(status, makeNeeds({ leaderSince: NOW - 100 }))).toEqual(undefined);
  });

  it('removes a voter whose disk was replaced as soon as the new one holds everything', () => {
    const renewed = makeMember('b', 'second');
    const status = makeStatus({ voters, learners: [renewed] });
    const needs = makeNeeds({ joined: [renewed] });
    expect(nextVoterChange(status, needs)).toEqual({ kind: 'remove', member: voters[1]! });
  });
});
