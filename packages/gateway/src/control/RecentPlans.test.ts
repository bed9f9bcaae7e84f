import { describe, it } from 'node:test';
import { Emitter } from '@marigoldbank/base/events';
import { makePlan } from '@marigoldbank/routing/fixtures';
import { expect } from 'earl';
import { CommittedPlan } from './CommittedPlan.js';
import { RecentPlans } from './RecentPlans.js';

function findKept(count: number, documentLength: number): number[] {
  const emitter = new Emitter<CommittedPlan>();
  const recent = new RecentPlans({ current: undefined, onDidChangePlan: emitter.event });
  const versions = Array.from({ length: count }, (_, i) => i + 1);
  versions.forEach((version) => {
    emitter.fire(new CommittedPlan(makePlan({ version }), 'x'.repeat(documentLength)));
  });
  return versions.filter((version) => recent.planOf(version) !== undefined);
}

describe('RecentPlans', () => {
  it('keeps the newest 16 plans', () => {
    expect(findKept(40, 5_000)).toEqual(Array.from({ length: 16 }, (_, i) => i + 25));
  });

  // Sixteen plans of 10,000 routes take more memory than a process of a control VM has.
  it('keeps fewer large ones, and always the newest', () => {
    expect(findKept(40, 1_660_000)).toEqual([39, 40]);
    expect(findKept(40, 10_000_000)).toEqual([40]);
  });
});
