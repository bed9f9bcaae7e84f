import { describe, it } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { makePlan, makeRoute, makeTeam } from './fixtures.js';
import type { Route } from './plan.js';
import { pickService, RouteTable } from './RouteTable.js';

/** Reference implementation: scans all routes of the host for the longest matching prefix. */
function findByScan(routes: readonly Route[], host: string, path: string): Route | undefined {
  return routes
    .filter((route) => route.host === host && path.startsWith(route.prefix))
    .sort((a, b) => b.prefix.length - a.prefix.length)[0];
}

const segment = fc.constantFrom('a', 'b', 'ab');
const prefix = fc
  .array(segment, { maxLength: 3 })
  .map((parts) => `/${parts.map((part) => `${part}/`).join('')}`);
const path = fc
  .array(fc.constantFrom('a', 'b', 'ab', ''), { maxLength: 4 })
  .map((parts) => `/${parts.join('/')}`);

describe('RouteTable', () => {
  // Requests that a plan could change are refused while it is not known whether it is in force, and only those.
  it('tells whether another plan handles a request otherwise', () => {
    const moved = makeRoute({ shares: [{ service: 'other', weight: 1 }] });
    const added = makeRoute({ prefix: '/added/' });
    const usual = makeRoute();
    const team = makeTeam();
    const [key] = team.keys;
    const own = new RouteTable(makePlan());
    const handlesAlike = (plan: Parameters<typeof makePlan>[0], to = usual.prefix): boolean =>
      own.handlesAlike(new RouteTable(makePlan(plan)), usual.host, to, key);
    expect(handlesAlike({ version: 99 })).toEqual(true);
    expect(handlesAlike({ routes: [makeRoute(), added] })).toEqual(true);
    expect(handlesAlike({ routes: [makeRoute(), added] }, '/added/')).toEqual(false);
    expect(handlesAlike({ routes: [moved] })).toEqual(false);
    expect(handlesAlike({ routes: [] })).toEqual(false);
    expect(handlesAlike({ teams: [{ ...team, keys: [] }] })).toEqual(false);
  });

  it('finds the same route as a scan over all prefixes', () => {
    fc.assert(
      fc.property(fc.uniqueArray(prefix, { maxLength: 6 }), path, (prefixes, requestPath) => {
        const routes = prefixes.map((item) => makeRoute({ name: item, prefix: item }));
        const table = new RouteTable(makePlan({ routes }));
        const expected = findByScan(routes, 'shop.example', requestPath);
        expect(table.findRoute('shop.example', requestPath)?.name).toEqual(expected?.name);
      }),
    );
  });

  it('ignores the port and the case of the host', () => {
    const table = new RouteTable(makePlan());
    expect(table.findRoute('Shop.Example:8080', '/orders/1')?.name).toEqual('orders');
    expect(table.findRoute('other.example', '/orders/1')).toEqual(undefined);
  });

  it('resolves keys of the current plan only, and needs no key on open routes', () => {
    const open = makeRoute({ name: 'open', prefix: '/open/', isOpen: true });
    const table = new RouteTable(makePlan({ routes: [makeRoute(), open] }));
    expect(table.findTeam(makeRoute(), 'key-north')).toLooseEqual({
      kind: 'team',
      team: makeTeam(),
    });
    expect(table.findTeam(makeRoute(), 'withdrawn')).toEqual({ kind: 'unknown' });
    expect(table.findTeam(makeRoute(), undefined)).toEqual({ kind: 'unknown' });
    expect(table.findTeam(open, undefined)).toEqual({ kind: 'open' });
  });

  it('splits requests in proportion to the weights and sends none to a weight of 0', () => {
    const shares = [
      { service: 'none', weight: 0 },
      { service: 'most', weight: 90 },
      { service: 'some', weight: 10 },
    ];
    const route = makeRoute({ shares });
    const points = Array.from({ length: 1_000 }, (_, i) => i / 1_000);
    const chosen = points.map((point) => pickService(route, point));
    expect(chosen.filter((service) => service === 'most').length).toEqual(900);
    expect(chosen.filter((service) => service === 'none').length).toEqual(0);
  });
});
