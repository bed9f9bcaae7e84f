import { describe, it } from 'node:test';
import { Random } from '@marigoldbank/base/random';
import { expect } from 'earl';
import { RelayEvidence } from './RelayEvidence.js';

function makeEvidence(): { at: number; evidence: RelayEvidence } {
  const fixture = { at: 0, evidence: undefined as unknown as RelayEvidence };
  fixture.evidence = new RelayEvidence(() => fixture.at);
  return fixture;
}

function outcome(id: string, succeeded = 1, failed = 0): Parameters<RelayEvidence['add']>[0] {
  return { id, succeeded, failed, suspect: 0 };
}

describe('RelayEvidence', () => {
  it('holds back what can wait, for 400 ms from the first outcome on', () => {
    const fixture = makeEvidence();
    const { evidence } = fixture;
    expect([evidence.add(outcome('t1'), true), evidence.heldForMs]).toEqual([true, 400]);
    fixture.at = 300;
    expect([evidence.add(outcome('t1'), true), evidence.heldForMs]).toEqual([true, 100]);
    expect(evidence.take(() => 0)).toEqual([]);
    fixture.at = 400;
    expect(evidence.take(() => 7)).toEqual([{ ...outcome('t1', 2), inFlight: 7 }]);
    expect(evidence.heldForMs).toEqual(undefined);
  });

  // Guards against entries elsewhere that go on sending to a target that fails.
  it('never holds back failures', () => {
    const { evidence } = makeEvidence();
    expect(evidence.add(outcome('t1', 0, 1), true)).toEqual(false);
    expect(evidence.take(() => 0)).toEqual([{ ...outcome('t1', 0, 1), inFlight: 0 }]);
  });

  // Guards against outcomes that get lost or count twice between the two buffers.
  it('passes each outcome on once', () => {
    const fixture = makeEvidence();
    const { evidence } = fixture;
    const random = new Random(3);
    let [added, taken] = [0, 0];
    const count = (): void => {
      taken += evidence.take(() => 0).reduce((sum, item) => sum + item.succeeded + item.failed, 0);
    };
    Array.from({ length: 2_000 }).forEach(() => {
      fixture.at += random.between(1, 60);
      const isFailure = random.chance(0.1);
      evidence.add(
        outcome(`t${random.between(1, 9)}`, isFailure ? 0 : 1, isFailure ? 1 : 0),
        random.chance(0.7),
      );
      added += 1;
      if (random.chance(0.5)) count();
    });
    fixture.at += 400;
    count();
    expect(taken).toEqual(added);
  });
});
