import { describe, it } from 'node:test';
import { expect } from 'earl';
import { listErrors } from './checks.js';
import { formatLists } from './format.js';
import { parseLists } from './parse.js';
import { formatProblem } from './problems.js';
import { createLists, createPlan, createRoute } from './testing.js';

const VALID = formatLists(createLists());

/** Problems and warnings of two files as lines. */
function problemsOf(teams: string, plans: string): string[] {
  const result = parseLists(
    { name: 'teams.toml', text: teams },
    { name: 'plans.toml', text: plans },
  );
  const problems = result.kind === 'valid' ? result.warnings : result.problems;
  return problems.map(formatProblem);
}

describe('parseLists', () => {
  it('accepts valid lists without a warning', () => {
    expect(problemsOf(VALID.teams, VALID.plans)).toEqual([]);
  });

  it('reports all problems of both files at once with their positions', () => {
    const teams = ['[teams.Hotel]', 'plan = 3', '[teams.cafe]', 'keys = ["ok01", 7]'].join('\n');
    const plans = ['[plans.basic]', 'rate = -1', 'burts = 5'].join('\n');
    expect(problemsOf(teams, plans)).toEqual([
      'teams.toml:1:1: teams.Hotel: expected lower-case letters, digits and hyphens, at most 63 characters, found "Hotel"',
      'teams.toml:2:1: teams.Hotel.plan: expected a string, found 3',
      'teams.toml:3:1: teams.cafe.plan: expected a string, found nothing',
      'teams.toml:4:17: teams.cafe.keys[1]: expected a string, found 7',
      'plans.toml:1:1: plans.basic.burst: expected a number, found nothing',
      'plans.toml:2:1: plans.basic.rate: expected more than 0, found -1',
      'plans.toml:3:1: plans.basic.burts: expected one of the fields rate, burst, routes, services, found the unknown field "burts" (did you mean "burst"?)',
    ]);
  });

  it('reports a syntax error with its position', () => {
    expect(problemsOf('[teams.hotel]\nplan = "a" keys = 1\n', VALID.plans)).toEqual([
      'teams.toml:2:12: expected TOML, found a syntax error: Must be a newline',
    ]);
    expect(problemsOf('[teams.hotel]\nplan =\n', VALID.plans)).toEqual([
      'teams.toml:3:1: expected TOML, found a syntax error: Unspecified values are invalid (here or at the end of the line before)',
    ]);
  });

  it('rejects keys that would change the prototype of all objects', () => {
    expect(problemsOf('[teams."__proto__"]\nplan = "x"\n', VALID.plans)).toEqual([
      'teams.toml:1:1: __proto__: expected another key, found a reserved name',
    ]);
    expect(Object.hasOwn(Object.prototype, 'plan')).toEqual(false);
  });

  it('reports an unknown plan and suggests a similar one', () => {
    expect(problemsOf('[teams.hotel]\nplan = "basix"\n', VALID.plans).at(0)).toEqual(
      'teams.toml:2:1: teams.hotel.plan: expected a plan defined in the list of plans, found the unknown plan "basix" (did you mean "basic"?)',
    );
  });

  it('warns about plans that allow nothing or have no team, and accepts them', () => {
    const spare = '[plans.spare]\nrate = 1\nburst = 1\n';
    expect(problemsOf(VALID.teams, `${spare}${VALID.plans}`)).toEqual([
      'plans.toml:1:1: warning: plans.spare: expected at least one route or service, found a plan that allows nothing',
      'plans.toml:1:1: warning: plans.spare: expected at least one team on the plan, found a plan that no team uses',
    ]);
  });
});

describe('listErrors', () => {
  const listsByErrorPath = {
    'teams.b.keys[0]': createLists({
      teams: { a: { plan: 'basic', keys: ['key01'] }, b: { plan: 'basic', keys: ['key01'] } },
    }),
    'routes.late.path': createLists({
      routes: {
        early: createRoute({ path: '/orders/:id' }),
        late: createRoute({ path: '/orders/:number' }),
      },
    }),
    'routes.star.path': createLists({ routes: { star: createRoute({ path: '/a/*/b' }) } }),
    'routes.dots.path': createLists({ routes: { dots: createRoute({ path: '/a/../b' }) } }),
    'routes.lost.service': createLists({
      routes: { lost: createRoute({ path: '/a', service: 'none' }) },
    }),
    'plans.basic.burst': createLists({ plans: { basic: createPlan({ burst: 0.5 }) } }),
    'plans.basic.routes[0]': createLists({ plans: { basic: createPlan({ routes: ['none'] }) } }),
    'services.orders.floor': createLists({
      services: {
        orders: { profile: 'fair-share', floor: 1 },
        maps: { profile: 'fair-share', floor: 0.5 },
      },
    }),
  };

  Object.entries(listsByErrorPath).forEach(([path, lists]) => {
    it(`reports the error at ${path} and no other`, () => {
      expect(listErrors(lists).map((text) => text.split(':')[0])).toEqual([path]);
    });
  });

  it('accepts valid lists, and routes that differ in method only', () => {
    expect(listErrors(createLists())).toEqual([]);
    const routes = {
      read: createRoute({ path: '/orders/:id' }),
      write: createRoute({ path: '/orders/:number', methods: ['PUT'] }),
    };
    expect(listErrors(createLists({ routes }))).toEqual([]);
  });
});
