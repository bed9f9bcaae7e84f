import { describe, it } from 'node:test';
import { create } from '@bufbuild/protobuf';
import {
  StoredStateSchema,
  type StoredState,
} from '@marigoldbank/protocol/gen/marigoldbank/v1/log_pb';
import { expect } from 'earl';
import { MajorityRead } from './MajorityRead.js';

const VOTERS = ['a', 'b', 'c', 'd', 'e'];

interface Log {
  readonly from: string;
  readonly version: number;
  readonly lastTerm?: number;
  readonly lastIndex?: number;
  readonly voters?: readonly string[];
  /** Empty for the usual disk of the member. */
  readonly disk?: string;
}

function makeStored(log: Log): StoredState {
  const { from, version, lastTerm = 1, lastIndex = version, voters = VOTERS, disk = '' } = log;
  return create(StoredStateSchema, {
    member: { address: from, incarnation: disk },
    lastTerm: BigInt(lastTerm),
    lastIndex: BigInt(lastIndex),
    voters: voters.map((address) => ({ address, incarnation: '' })),
    version: BigInt(version),
  });
}

/** What follows from answers to questions asked at 0, 10, 20 ms and so on. */
function read(...logs: Log[]): { version: number; at: number } | undefined {
  const majority = new MajorityRead();
  logs.forEach((log, i) => majority.record(makeStored(log), 10 * i));
  const result = majority.result(100);
  return result === undefined ? undefined : { version: result.version, at: result.at };
}

describe('MajorityRead', () => {
  it('needs a majority of the voters', () => {
    expect(read({ from: 'a', version: 1 }, { from: 'b', version: 1 })).toEqual(undefined);
    const three = ['a', 'b', 'c'].map((from) => ({ from, version: 1 }));
    expect(read(...three)).toEqual({ version: 1, at: 0 });
  });

  it('finds a plan that one of them has stored', () => {
    const logs = [
      { from: 'a', version: 1 },
      { from: 'b', version: 2 },
      { from: 'c', version: 1 },
    ];
    expect(read(...logs)).toEqual({ version: 2, at: 0 });
  });

  // An entry of an older term in a longer log was replaced by what a later leader has committed.
  it('takes the log with the newer term for the newest one', () => {
    const logs = [
      { from: 'a', version: 9, lastTerm: 1, lastIndex: 50 },
      { from: 'b', version: 3, lastTerm: 2, lastIndex: 20 },
      { from: 'c', version: 3, lastTerm: 2, lastIndex: 20 },
    ];
    expect(read(...logs)).toEqual({ version: 3, at: 0 });
  });

  // A member whose disk was lost knows nothing, and learners do not make a majority.
  it('does not count members that are no voters', () => {
    const wiped = { from: 'c', version: 0, lastIndex: 0, disk: 'new' };
    const learner = { from: 'f', version: 1 };
    const logs = [{ from: 'a', version: 1 }, { from: 'b', version: 1 }, wiped, learner];
    expect(read(...logs)).toEqual(undefined);
  });

  // With the voters before a change, two members would be a majority that may not have what the new voters have committed.
  it('counts the voters of the newest log', () => {
    const old = { voters: ['a', 'b', 'c'], lastIndex: 4 };
    const logs = [
      { from: 'a', version: 1, ...old },
      { from: 'b', version: 1, lastIndex: 5 },
    ];
    expect(read(...logs)).toEqual(undefined);
  });

  it('is dated by the oldest answer that it needs', () => {
    const logs = ['a', 'b', 'c', 'd', 'e'].map((from) => ({ from, version: 1 }));
    expect(read(...logs)).toEqual({ version: 1, at: 20 });
  });

  it('forgets answers after three seconds', () => {
    const majority = new MajorityRead();
    VOTERS.forEach((from) => majority.record(makeStored({ from, version: 1 }), 0));
    expect(majority.result(3_001)).toEqual(undefined);
  });

  it('tells how many voters have answered, without learners and answers that are too old', () => {
    const majority = new MajorityRead();
    majority.record(makeStored({ from: 'a', version: 1 }), 0);
    majority.record(makeStored({ from: 'b', version: 1 }), 1_000);
    majority.record(makeStored({ from: 'c', version: 1 }), 2_000);
    majority.record(makeStored({ from: 'learner', version: 1 }), 2_000);
    expect(majority.coverage(3_500)).toEqual({ voters: 5, counted: 2, oldestMs: 2_500 });
    expect(majority.coverage(9_000)).toEqual({ voters: 0, counted: 0, oldestMs: 0 });
  });

  // Entries served by a replaced plan until the third of five voters had answered.
  it('tells of a plan that one log has, before a majority has answered', () => {
    const majority = new MajorityRead();
    majority.record(makeStored({ from: 'a', version: 1 }), 0);
    expect(majority.newestPlan(100)).toEqual({ version: 1, at: 0, address: 'a' });
    majority.record(makeStored({ from: 'b', version: 2 }), 40);
    expect(majority.newestPlan(100)).toEqual({ version: 2, at: 40, address: 'b' });
    expect(majority.result(100)).toEqual(undefined);
    expect(majority.newestPlan(4_000)).toEqual(undefined);
  });

  it('does not tell of a plan that is only in the log of an older term', () => {
    const majority = new MajorityRead();
    majority.record(makeStored({ from: 'a', version: 2, lastTerm: 1 }), 0);
    majority.record(makeStored({ from: 'b', version: 1, lastTerm: 2 }), 10);
    expect(majority.newestPlan(100)?.version).toEqual(1);
  });
});
