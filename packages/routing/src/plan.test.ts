import { describe, it } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { makePlan, makeRoute, makeTeam } from './fixtures.js';
import { findPlanProblems, type RoutingPlan } from './plan.js';
import { applyPlanChanges, diffPlanItems, fromPlanItems, toPlanItems } from './plan-items.js';

const anyPlan: fc.Arbitrary<RoutingPlan> = fc
  .record({
    prefixes: fc.uniqueArray(fc.constantFrom('/', '/a/', '/b/', '/a/b/'), { minLength: 1 }),
    timeoutMs: fc.constantFrom(1_000, 2_000),
    teams: fc.uniqueArray(fc.constantFrom('north', 'south'), { maxLength: 2 }),
    keys: fc.uniqueArray(fc.constantFrom('k1', 'k2'), { maxLength: 2 }),
    version: fc.integer({ min: 1, max: 9 }),
  })
  .map(({ prefixes, timeoutMs, teams, keys, version }) =>
    makePlan({
      version,
      routes: prefixes.map((prefix) => makeRoute({ prefix, timeoutMs })),
      teams: teams.map((name) => makeTeam({ name, keys: keys.map((key) => `${name}-${key}`) })),
    }),
  );

const byPrefix = (plan: RoutingPlan): RoutingPlan => ({
  ...plan,
  routes: [...plan.routes].sort((a, b) => a.prefix.localeCompare(b.prefix)),
  teams: [...plan.teams].sort((a, b) => a.name.localeCompare(b.name)),
});

describe('plan items', () => {
  it('turn a plan into any other one by applying their difference', () => {
    fc.assert(
      fc.property(anyPlan, anyPlan, (from, to) => {
        const items = toPlanItems(from);
        const next = applyPlanChanges(items, diffPlanItems(items, toPlanItems(to)));
        expect(byPrefix(fromPlanItems(to.version, next))).toEqual(byPrefix(to));
      }),
    );
  });

  it('have no difference between equal plans', () => {
    expect(diffPlanItems(toPlanItems(makePlan()), toPlanItems(makePlan()))).toEqual([]);
  });
});

describe('findPlanProblems', () => {
  const cases: readonly [string, Partial<RoutingPlan>][] = [
    ['an unknown service', { routes: [makeRoute({ shares: [{ service: 'x', weight: 1 }] })] }],
    [
      'two routes with the same host and prefix',
      { routes: [makeRoute(), makeRoute({ name: 'other' })] },
    ],
    ['no weight above 0', { routes: [makeRoute({ shares: [{ service: 'orders', weight: 0 }] })] }],
    ['a key that two teams share', { teams: [makeTeam(), makeTeam({ name: 'south' })] }],
  ];
  cases.forEach(([name, overrides]) => {
    it(`finds ${name}`, () => {
      expect(findPlanProblems(makePlan(overrides)).length).toEqual(1);
    });
  });

  it('accepts a valid plan and puts no key into its messages', () => {
    expect(findPlanProblems(makePlan())).toEqual([]);
    const shared = findPlanProblems(makePlan({ teams: [makeTeam(), makeTeam({ name: 'south' })] }));
    expect(shared.join().includes('key-north')).toEqual(false);
  });
});
