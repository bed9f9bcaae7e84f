import { describe, it } from 'node:test';
import type { RoutingPlan } from '@marigoldbank/routing/plan';
import { expect } from 'earl';
import { appliesToCurrent } from './plan-scope.js';
import { makeEmptyPlan } from './testing/fixtures.js';

const WITH_UPLOADS = { ...makeEmptyPlan(2), routes: [{ hasLargeBody: true }] } as never;

describe('scope of plans', () => {
  // Guards against new decisions in fleets whose configuration does not call for them.
  it('follows the plan in force', () => {
    let plan: RoutingPlan | undefined;
    const largeBodies = appliesToCurrent('largeBodies', () => plan);
    const all = appliesToCurrent('all', () => plan);
    const none = appliesToCurrent('none', () => plan);
    const now = (): boolean[] => [largeBodies(), all(), none()];
    expect(now()).toEqual([false, false, false]);
    plan = makeEmptyPlan(1);
    expect(now()).toEqual([false, true, false]);
    plan = WITH_UPLOADS;
    expect(now()).toEqual([true, true, false]);
    plan = makeEmptyPlan(3);
    expect(now()).toEqual([false, true, false]);
  });
});
