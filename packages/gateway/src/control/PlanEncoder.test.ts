import { describe, it } from 'node:test';
import { makePlan, makeRoute } from '@marigoldbank/routing/fixtures';
import { applyPlanChanges, decodePlanChanges } from '@marigoldbank/routing/plan-items';
import { expect } from 'earl';
import { PlanEncoder } from './PlanEncoder.js';
import { CommittedPlan } from './CommittedPlan.js';

function makeCommitted(version: number, ...prefixes: string[]): CommittedPlan {
  const routes = prefixes.map((prefix) => makeRoute({ prefix, name: `${prefix} ${version}` }));
  return new CommittedPlan(makePlan({ version, routes }), '');
}

describe('PlanEncoder', () => {
  it('encodes changes from any plan to the newest one', () => {
    const encoder = new PlanEncoder();
    const plans = [
      makeCommitted(1, '/a/'),
      makeCommitted(2, '/a/', '/b/'),
      makeCommitted(3, '/b/', '/c/'),
    ];
    plans.forEach((to) =>
      [undefined, ...plans].forEach((from) => {
        const changes = decodePlanChanges(encoder.encode(from, to));
        expect(applyPlanChanges(from?.items ?? new Map(), changes)).toEqual(to.items);
      }),
    );
  });

  it('encodes a difference only once for all entries that need it', () => {
    const encoder = new PlanEncoder();
    const [first, second] = [makeCommitted(1, '/a/'), makeCommitted(2, '/b/')];
    const [once, again] = [encoder.encode(first, second), encoder.encode(first, second)];
    expect(once === again).toEqual(true);
  });
});
