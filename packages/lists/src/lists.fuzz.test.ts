import { describe, it } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { listErrors } from './checks.js';
import { CompiledLists } from './CompiledLists.js';
import { diffLists } from './diff.js';
import { formatLists } from './format.js';
import { parseLists } from './parse.js';
import { pathShape } from './RouteTrie.js';
import type { Lists, Plan } from './schema.js';
import { createLists } from './testing.js';

const id = fc.constantFrom('a', 'b', 'c', 'constructor', 'x-1', '0');
const service = fc.record(
  {
    profile: fc.constantFrom('prompt-detection' as const, 'fair-share' as const),
    floor: fc.constantFrom(0.1, 0.6, 0.95, 1),
  },
  { noNullPrototype: true },
);
const route = fc.record(
  {
    service: id,
    methods: fc.uniqueArray(fc.constantFrom('GET' as const, 'POST' as const), { minLength: 1 }),
    path: fc.constantFrom('/', '/a', '/a/:x', '/a/:y', '/a/*', '/*/b', '/a/b'),
    idempotent: fc.boolean(),
    open: fc.boolean(),
    timeoutMs: fc.integer({ min: 10, max: 600_000 }),
    maxBodyBytes: fc.integer({ min: 0, max: 67_108_864 }),
  },
  { noNullPrototype: true },
);
const plan = fc.record(
  {
    rate: fc.double({ min: 0.001, max: 1e6, noNaN: true }),
    burst: fc.constantFrom(0.5, 1, 20, 1e6),
    routes: fc.uniqueArray(id),
    services: fc.uniqueArray(id),
  },
  { noNullPrototype: true },
);
const team = fc.record(
  {
    plan: id,
    keys: fc.uniqueArray(fc.constantFrom('key1', 'key2', '0000', '1e10')),
  },
  { noNullPrototype: true },
);
const listsArbitrary: fc.Arbitrary<Lists> = fc.record(
  {
    teams: fc.dictionary(id, team, { noNullPrototype: true }),
    services: fc.dictionary(id, service, { noNullPrototype: true }),
    routes: fc.dictionary(id, route, { noNullPrototype: true }),
    plans: fc.dictionary(id, plan, { noNullPrototype: true }),
  },
  { noNullPrototype: true },
);

const filterValues = <T>(
  record: Record<string, T>,
  test: (value: T) => boolean,
): Record<string, T> =>
  Object.fromEntries(Object.entries(record).filter(([, value]) => test(value)));

/** Removes what the checks refuse, so that few generated lists are discarded. */
function repair({ teams, services, routes, plans }: Lists): Lists {
  const goodServices = filterValues(services, ({ floor }) => floor < 1);
  const shapes = new Set<string>();
  const goodRoutes = filterValues(routes, ({ service: name, path }) => {
    const shape = pathShape(path);
    if (!Object.hasOwn(goodServices, name) || path === '/*/b' || shapes.has(shape)) return false;
    shapes.add(shape);
    return true;
  });
  const goodPlans = Object.entries(plans).map(([planId, item]): [string, Plan] => [
    planId,
    {
      rate: item.rate,
      burst: Math.max(1, item.burst),
      routes: item.routes.filter((name) => Object.hasOwn(goodRoutes, name)),
      services: item.services.filter((name) => Object.hasOwn(goodServices, name)),
    },
  ]);
  const knownPlans = Object.fromEntries(goodPlans);
  const usedKeys = new Set<string>();
  const goodTeams = filterValues(teams, ({ plan: name, keys }) => {
    if (!Object.hasOwn(knownPlans, name) || keys.some((key) => usedKeys.has(key))) return false;
    keys.forEach((key) => usedKeys.add(key));
    return true;
  });
  return { teams: goodTeams, services: goodServices, routes: goodRoutes, plans: knownPlans };
}

const validLists = listsArbitrary.map(repair);

const parse = (teams: string, plans: string): ReturnType<typeof parseLists> =>
  parseLists({ name: 'teams.toml', text: teams }, { name: 'plans.toml', text: plans });

const VALID = formatLists(createLists());
const NOISE = [
  '[',
  ']',
  '=',
  '"',
  "'''",
  '\n',
  '.',
  '{',
  '}',
  ',',
  '#',
  '\u0000',
  '__proto__',
  '1979-05-27',
  'nan',
  '-',
  'é',
  '[[teams]]\n',
  '\\u',
];

/** An edit that cuts parts out of a text and inserts noise. */
const mutation = fc
  .array(
    fc.record({
      at: fc.double({ min: 0, max: 1, noNaN: true }),
      cut: fc.nat(12),
      insert: fc.constantFrom('', ...NOISE),
    }),
    { minLength: 1, maxLength: 6 },
  )
  .map(
    (edits) =>
      (text: string): string =>
        edits.reduce((edited, { at, cut, insert }) => {
          const start = Math.floor(at * edited.length);
          return `${edited.slice(0, start)}${insert}${edited.slice(start + cut)}`;
        }, text),
  );

const toml = fc.oneof(
  fc.string({ unit: 'binary' }),
  fc.array(fc.constantFrom('a', ' ', ...NOISE)).map((parts) => parts.join('')),
);

/** Problems without a TOML file, a position, or a text of what was expected and found. */
function incompleteProblems(result: ReturnType<typeof parseLists>): unknown[] {
  const problems = result.kind === 'valid' ? result.warnings : result.problems;
  return problems.filter(
    ({ file, line, column, expected, found }) =>
      !file.endsWith('.toml') || line < 1 || column < 1 || expected === '' || found === '',
  );
}

describe('lists under arbitrary input', () => {
  it('never throws, and every problem has a file, line and column', () => {
    const propertyCount = Object.keys(Object.prototype).length;
    fc.assert(
      fc.property(toml, toml, (teams, plans) => {
        expect(incompleteProblems(parse(teams, plans))).toEqual([]);
      }),
      { numRuns: 1_000 },
    );
    fc.assert(
      fc.property(mutation, (mutate) => {
        const result = parse(mutate(VALID.teams), mutate(VALID.plans));
        expect(incompleteProblems(result)).toEqual([]);
        if (result.kind === 'invalid') expect(result.problems.length).toBeGreaterThan(0);
      }),
      { numRuns: 1_000 },
    );
    expect(Object.keys(Object.prototype).length).toEqual(propertyCount);
  });

  it('parses formatted lists as the same lists', () => {
    fc.assert(
      fc.property(validLists, (lists) => {
        expect(listErrors(lists)).toEqual([]);
        const { teams, plans } = formatLists(lists);
        const result = parse(teams, plans);
        expect(result.kind === 'valid' && result.lists).toEqual(lists);
      }),
      { numRuns: 300 },
    );
  });

  it('finds no difference between lists and their formatted copy, and one when a team is removed', () => {
    fc.assert(
      fc.property(validLists, (lists) => {
        const { teams, plans } = formatLists(lists);
        const result = parse(teams, plans);
        expect(result.kind === 'valid' && diffLists(lists, result.lists)).toEqual([]);
        const [first, ...others] = Object.entries(lists.teams);
        if (first === undefined) return;
        const fewer = { ...lists, teams: Object.fromEntries(others) };
        expect(diffLists(lists, fewer).length).toBeGreaterThan(0);
      }),
      { numRuns: 300 },
    );
  });

  it('compiles and compares any lists of the schema, also inconsistent ones, and reports lost access', () => {
    fc.assert(
      fc.property(listsArbitrary, listsArbitrary, (before, after) => {
        const compiled = new CompiledLists(after);
        const listedKeys = Object.values(after.teams).flatMap(({ keys }) => keys);
        const isUnique = (key: string): boolean =>
          listedKeys.filter((other) => other === key).length === 1;
        Object.entries(after.teams).forEach(([teamId, { keys }]) => {
          keys.filter(isUnique).forEach((key) => expect(compiled.teamOfKey(key)).toEqual(teamId));
        });
        const isLossless = diffLists(before, after).every(({ isLoss }) => !isLoss);
        if (!isLossless) return;
        const old = new CompiledLists(before);
        const lost = Object.keys(before.teams).filter((teamId) =>
          Object.keys(before.routes).some(
            (routeId) =>
              old.isRouteAllowed(teamId, routeId) && !compiled.isRouteAllowed(teamId, routeId),
          ),
        );
        expect(lost).toEqual([]);
      }),
      { numRuns: 1_000 },
    );
  });
});
