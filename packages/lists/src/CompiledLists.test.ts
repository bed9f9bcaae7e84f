import { describe, it } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { CompiledLists } from './CompiledLists.js';
import { splitPath } from './RouteTrie.js';
import type { Lists, Route } from './schema.js';
import { createLists, createPlan, createRoute } from './testing.js';

const TEAMS = 100_000;
/** Time that an entry may spend on compiling an adopted revision of this size, far below the bound of 15 s. */
const BUILD_BOUND_MS = 5_000;

const SEGMENTS = ['a', 'b', ':x', ':y'];
const patternArbitrary = fc
  .tuple(fc.array(fc.constantFrom(...SEGMENTS), { maxLength: 4 }), fc.boolean())
  .map(([segments, hasWildcard]) => `/${[...segments, ...(hasWildcard ? ['*'] : [])].join('/')}`);
const requestArbitrary = fc
  .array(fc.constantFrom('a', 'b', 'c', ''), { maxLength: 5 })
  .map((segments) => `/${segments.join('/')}`);
const methodArbitrary = fc.constantFrom('GET' as const, 'POST' as const);

/** One digit for each segment of a matching pattern, smaller for a more specific one; undefined without a match. */
function rankOf(pattern: string, path: string): string | undefined {
  const patternSegments = splitPath(pattern);
  const given = splitPath(path);
  const hasWildcard = patternSegments.at(-1) === '*';
  const fixed = hasWildcard ? patternSegments.slice(0, -1) : patternSegments;
  if (hasWildcard ? given.length <= fixed.length : given.length !== fixed.length) return undefined;
  const ranks = fixed.map((segment, i) => {
    if (segment === given[i]) return '0';
    return segment.startsWith(':') && given[i] !== '' ? '1' : undefined;
  });
  if (ranks.includes(undefined)) return undefined;
  return `${ranks.join('')}${hasWildcard ? '2' : ''}`;
}

function linearMatch(routes: Lists['routes'], method: string, path: string): string {
  const matching = Object.entries(routes).flatMap(([id, { methods, path: pattern }]) => {
    const rank = rankOf(pattern, path);
    return rank === undefined ? [] : [{ id, methods, rank }];
  });
  const best = matching
    .filter(({ methods }) => methods.some((known) => known === method))
    .sort((a, b) => (a.rank < b.rank ? -1 : Number(a.rank > b.rank)))
    .at(0);
  if (best !== undefined) return best.id;
  return matching.length === 0 ? 'notFound' : 'methodNotAllowed';
}

function compiledMatch(lists: Lists, method: string, path: string): string {
  const match = new CompiledLists(lists).matchRoute(method, path);
  return match.kind === 'matched' ? match.route.id : match.kind;
}

const routesOf = (routes: readonly Route[]): Lists['routes'] =>
  Object.fromEntries(routes.map((route, i) => [`r${i}`, route]));

describe('CompiledLists', () => {
  it('matches the same route as a linear scan over all routes', () => {
    const routeArbitrary = fc
      .record({ path: patternArbitrary, method: methodArbitrary })
      .map(({ path, method }) => createRoute({ path, methods: [method] }));
    fc.assert(
      fc.property(
        fc.array(routeArbitrary, { maxLength: 12 }),
        methodArbitrary,
        requestArbitrary,
        (routes, method, path) => {
          const lists = createLists({ routes: routesOf(routes) });
          expect(compiledMatch(lists, method, path)).toEqual(
            linearMatch(lists.routes, method, path),
          );
        },
      ),
      { numRuns: 2_000 },
    );
  });

  it('distinguishes a wrong method, reported with the allowed ones, from an unknown path', () => {
    const compiled = new CompiledLists(createLists());
    expect(compiled.matchRoute('PUT', '/orders')).toEqual({
      kind: 'methodNotAllowed',
      allowed: ['POST'],
    });
    expect(compiled.matchRoute('GET', '/constructor')).toEqual({ kind: 'notFound' });
  });

  it('allows a route only by the plan of the team, or to all when it is open', () => {
    const plans = { basic: createPlan({ services: [], routes: ['order-read'] }) };
    const compiled = new CompiledLists(createLists({ plans }));
    const isAllowed = (team: string, route: string): boolean =>
      compiled.isRouteAllowed(team, route);
    expect(isAllowed('hotel', 'order-read')).toEqual(true);
    expect(isAllowed('hotel', 'order-place')).toEqual(false);
    expect(isAllowed('nobody', 'order-read')).toEqual(false);
    expect(isAllowed('nobody', 'map-read')).toEqual(true);
    expect(isAllowed('hotel', 'missing')).toEqual(false);
  });

  it('finds no plan, team or service under names of built-in properties', () => {
    const compiled = new CompiledLists(createLists());
    ['constructor', 'toString', '__proto__'].forEach((name) => {
      expect(compiled.planOf(name)).toEqual(undefined);
      expect(compiled.teamOfKey(name)).toEqual(undefined);
      expect(compiled.service(name)).toEqual(undefined);
    });
  });

  it('assigns a key listed by two teams to neither, so that no team gets the access of another', () => {
    const teams = {
      hotel: { plan: 'basic', keys: ['same01', 'own001'] },
      cafe: { plan: 'basic', keys: ['same01'] },
    };
    const compiled = new CompiledLists(createLists({ teams }));
    expect(compiled.teamOfKey('same01')).toEqual(undefined);
    expect(compiled.teamOfKey('own001')).toEqual('hotel');
  });

  it(`builds ${TEAMS} teams within ${BUILD_BOUND_MS} ms`, () => {
    const teams = Object.fromEntries(
      Array.from({ length: TEAMS }, (_, i) => [`team-${i}`, { plan: 'basic', keys: [`key${i}`] }]),
    );
    const lists = createLists({ teams });
    const startedAt = performance.now();
    const compiled = new CompiledLists(lists);
    expect(performance.now() - startedAt).toBeLessThan(BUILD_BOUND_MS);
    expect(compiled.teamOfKey(`key${TEAMS - 1}`)).toEqual(`team-${TEAMS - 1}`);
  });
});
