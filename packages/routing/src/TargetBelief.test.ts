import { describe, it } from 'node:test';
import { expect } from 'earl';
import { TargetBelief } from './TargetBelief.js';
import { FAILING_THRESHOLD } from './TargetSelector.js';

function makeHealthyBelief(): TargetBelief {
  const belief = new TargetBelief(0);
  [0, 100, 200].forEach((at) => belief.observe('succeeded', at));
  return belief;
}

describe('TargetBelief', () => {
  it('considers a healthy target failing after one failure', () => {
    const belief = makeHealthyBelief();
    belief.observe('failed', 300);
    expect(belief.failingProbability(300)).toBeGreaterThan(FAILING_THRESHOLD);
  });

  it('does not consider a healthy target failing after one error, which the request may have caused', () => {
    const belief = makeHealthyBelief();
    belief.observe('suspect', 300);
    expect(belief.failingProbability(300)).toBeLessThan(FAILING_THRESHOLD);
  });

  it('considers a target failing after consecutive errors', () => {
    const belief = makeHealthyBelief();
    [300, 400].forEach((at) => belief.observe('suspect', at));
    expect(belief.failingProbability(400)).toBeGreaterThan(FAILING_THRESHOLD);
  });

  it('needs more than one success after a failure, since a failing target still answers some requests', () => {
    const belief = makeHealthyBelief();
    [300, 320, 340].forEach((at) => belief.observe('failed', at));
    belief.observe('succeeded', 400);
    expect(belief.failingProbability(400)).toBeGreaterThan(FAILING_THRESHOLD);
    [500, 600, 700].forEach((at) => belief.observe('succeeded', at));
    expect(belief.failingProbability(700)).toBeLessThan(FAILING_THRESHOLD);
  });

  it('drifts to the prior from both sides without outcomes', () => {
    const healthy = makeHealthyBelief();
    const failing = makeHealthyBelief();
    failing.observe('failed', 300);
    const later = 60_000;
    expect(
      Math.abs(healthy.failingProbability(later) - failing.failingProbability(later)),
    ).toBeLessThan(0.01);
    expect(healthy.failingProbability(later)).toBeGreaterThan(healthy.failingProbability(300));
  });

  // A batch reports several outcomes of one target as a count, which must weigh as much as single ones.
  it('takes a count of outcomes like that many single outcomes', () => {
    (['succeeded', 'suspect', 'failed'] as const).forEach((outcome) => {
      const [counted, single] = [makeHealthyBelief(), makeHealthyBelief()];
      counted.observe(outcome, 300, 3);
      [300, 300, 300].forEach((at) => single.observe(outcome, at));
      const difference = counted.failingProbability(300) - single.failingProbability(300);
      expect(Math.abs(difference)).toBeLessThan(1e-9);
    });
  });

  it('remains a probability after any count', () => {
    (['succeeded', 'suspect', 'failed'] as const).forEach((outcome) => {
      const belief = makeHealthyBelief();
      belief.observe(outcome, 300, 2 ** 32 - 1);
      expect(Math.abs(belief.failingProbability(300) - 0.5)).toBeLessThan(0.5);
    });
  });
});
