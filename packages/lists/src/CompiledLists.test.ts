import { describe, it } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { CompiledLists } from './CompiledLists.js';
import { splitPath } from './RouteTrie.js';
import type { Lists, Route } from './schema.js';
import { createLists, createPlan, createRoute } from './testing.js';

const TEAMS = 100_000;
/** Time that an entry may spend on one adopted revision of this size, far below the bound of 15 s. */
const BUILD_BOUND_MS = 5_000;

const SEGMENTS = ['a', 'b', ':x', ':y'];
const patternArbitrary = fc
  .tuple(fc.array(fc.constantFrom(...SEGMENTS), { maxLength: 4 }), fc.boolean())
  .map(([segments, isRest]) => `/${[...segments, ...(isRest ? ['*'] : [])].join('/')}`);
const requestArbitrary = fc
  .array(fc.constantFrom('a', 'b', 'c', ''), { maxLength: 5 })
  .map((segments) => `/${segments.join('/')}`);
const methodArbitrary = fc.constantFrom('GET' as const, 'POST' as const);

/** Rank of each segment of a matching pattern, or undefined. Smaller is more specific. */
function rankOf(pattern: string, path: string): string | undefined {
  const wanted = splitPath(pattern);
  const given = splitPath(path);
  const isRest = wanted.at(-1) === '*';
  const fixed = isRest ? wanted.slice(0, -1) : wanted;
  if (isRest ? given.length <= fixed.length : given.length !== fixed.length) return undefined;
  const ranks = fixed.map((segment, i) => {
    if (segment === given[i]) return '0';
    return segment.startsWith(':') && given[i] !== '' ? '1' : undefined;
  });
  if (ranks.includes(undefined)) return undefined;
  return `${ranks.join('')}${isRest ? '2' : ''}`;
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
  it('matches as a scan over all routes does', () => {
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

  it('tells a wrong method from an unknown path, with the methods of the path', () => {
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
    const uses = (team: string, route: string): boolean => compiled.isRouteAllowed(team, route);
    expect(uses('hotel', 'order-read')).toEqual(true);
    expect(uses('hotel', 'order-place')).toEqual(false);
    expect(uses('nobody', 'order-read')).toEqual(false);
    expect(uses('nobody', 'map-read')).toEqual(true);
    expect(uses('hotel', 'missing')).toEqual(false);
  });

  it('gives no plan, team or service for names of built-in properties', () => {
    const compiled = new CompiledLists(createLists());
    ['constructor', 'toString', '__proto__'].forEach((name) => {
      expect(compiled.planOf(name)).toEqual(undefined);
      expect(compiled.teamOfKey(name)).toEqual(undefined);
      expect(compiled.service(name)).toEqual(undefined);
    });
  });

  it('gives a key named by two teams to neither, so that no team gets the access of another', () => {
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
