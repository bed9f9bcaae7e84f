import { describe, it } from 'node:test';
import { expect } from 'earl';
import { runOne, type RunSpec } from './run-one.js';
import { summarizeAll } from './summary.js';
import { findMissedGoals } from './goals.js';

const SPEC: RunSpec = {
  scenario: 'slow-target',
  deployment: 'dispatch',
  variant: 'ours',
  seed: 7,
  durationMs: 6_000,
};

describe('runOne', () => {
  it('gives the same figures for the same seed and different ones for another seed', () => {
    const first = runOne(SPEC);
    expect(runOne(SPEC)).toEqual(first);
    expect(runOne({ ...SPEC, seed: 8 }).figures).not.toEqual(first.figures);
  });

  it('meets the detection goal, and reports a miss when detection is disabled', () => {
    expect(findMissedGoals(summarizeAll([runOne(SPEC)]))).toEqual([]);
    const off = { ...SPEC, parameters: { cusumThreshold: Number.POSITIVE_INFINITY } };
    const misses = findMissedGoals(summarizeAll([runOne(off)]));
    expect(misses.length).toEqual(1);
    expect(misses[0]!).toMatchRegex(/targets not found 1.*missed by 1/);
  });

  it('throws a RangeError for an unknown scenario', () => {
    expect(() => runOne({ ...SPEC, scenario: 'no such scenario' })).toThrow(RangeError);
  });
});
