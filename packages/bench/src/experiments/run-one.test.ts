import { describe, it } from 'node:test';
import { expect } from 'earl';
import { runOne, type RunSpec } from './run-one.js';
import { summarizeAll } from './summary.js';
import { findMisses } from './goals.js';

const SPEC: RunSpec = {
  scenario: 'slow-target',
  deployment: 'dispatch',
  variant: 'ours',
  seed: 7,
  durationMs: 6_000,
};

describe('runOne', () => {
  it('gives the same figures for the same seed and others for another', () => {
    const first = runOne(SPEC);
    expect(runOne(SPEC)).toEqual(first);
    expect(runOne({ ...SPEC, seed: 8 }).figures).not.toEqual(first.figures);
  });

  it('meets the detection target, and reports a miss when detection is off (the check can fail)', () => {
    expect(findMisses(summarizeAll([runOne(SPEC)]))).toEqual([]);
    const off = { ...SPEC, parameters: { cusumThreshold: Number.POSITIVE_INFINITY } };
    const misses = findMisses(summarizeAll([runOne(off)]));
    expect(misses.length).toEqual(1);
    expect(misses[0]!).toMatchRegex(/targets not found 1.*missed by 1/);
  });

  it('refuses unknown names', () => {
    expect(() => runOne({ ...SPEC, scenario: 'no such scenario' })).toThrow(RangeError);
  });
});
