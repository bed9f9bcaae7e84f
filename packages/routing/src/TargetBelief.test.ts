import { describe, it } from 'node:test';
import { expect } from 'earl';
import { TargetBelief } from './TargetBelief.js';
import { FAILING_THRESHOLD } from './TargetSelector.js';

function makeProvenBelief(): TargetBelief {
  const belief = new TargetBelief(0);
  [0, 100, 200].forEach((at) => belief.observe('succeeded', at));
  return belief;
}

describe('TargetBelief', () => {
  it('doubts a proven target after one failure', () => {
    const belief = makeProvenBelief();
    belief.observe('failed', 300);
    expect(belief.failingProbability(300)).toBeGreaterThan(FAILING_THRESHOLD);
  });

  it('does not doubt a proven target after one error, which the request may have caused', () => {
    const belief = makeProvenBelief();
    belief.observe('suspect', 300);
    expect(belief.failingProbability(300)).toBeLessThan(FAILING_THRESHOLD);
  });

  it('doubts a target after errors in a row', () => {
    const belief = makeProvenBelief();
    [300, 400].forEach((at) => belief.observe('suspect', at));
    expect(belief.failingProbability(400)).toBeGreaterThan(FAILING_THRESHOLD);
  });

  it('needs more than one success after a failure, since a failing target answers some', () => {
    const belief = makeProvenBelief();
    [300, 320, 340].forEach((at) => belief.observe('failed', at));
    belief.observe('succeeded', 400);
    expect(belief.failingProbability(400)).toBeGreaterThan(FAILING_THRESHOLD);
    [500, 600, 700].forEach((at) => belief.observe('succeeded', at));
    expect(belief.failingProbability(700)).toBeLessThan(FAILING_THRESHOLD);
  });

  it('forgets: an unseen target drifts to the long-run share from both sides', () => {
    const good = makeProvenBelief();
    const bad = makeProvenBelief();
    bad.observe('failed', 300);
    const later = 60_000;
    expect(Math.abs(good.failingProbability(later) - bad.failingProbability(later))).toBeLessThan(
      0.01,
    );
    expect(good.failingProbability(later)).toBeGreaterThan(good.failingProbability(300));
  });
});
