/** Lookup of routes, keys and services of a plan. */
import { isDeepStrictEqual } from 'node:util';
import type { Route, RoutingPlan, Service, Team } from './plan.js';

/** Result of a key lookup: the team of the key, a route that needs no key, or an unknown or missing key. */
export type KeyLookup =
  | { readonly kind: 'team'; readonly team: Team }
  | { readonly kind: 'open' }
  | { readonly kind: 'unknown' };

const PORT_SUFFIX = /:\d+$/;

/** Converts a `Host` header to the form of the hosts in a plan: lower case, without the port. */
export function normaliseHost(host: string): string {
  return host.toLowerCase().replace(PORT_SUFFIX, '');
}

/** Immutable lookup tables of one plan. */
export class RouteTable {
  private readonly routes: ReadonlyMap<string, ReadonlyMap<string, Route>>;

  private readonly teamsByKey: ReadonlyMap<string, Team>;

  private readonly services: ReadonlyMap<string, Service>;

  public constructor(public readonly plan: RoutingPlan) {
    const routes = new Map<string, Map<string, Route>>();
    plan.routes.forEach((route) => {
      const hostRoutes = routes.get(route.host) ?? new Map<string, Route>();
      hostRoutes.set(route.prefix, route);
      routes.set(route.host, hostRoutes);
    });
    this.routes = routes;
    this.teamsByKey = new Map(
      plan.teams.flatMap((team) => team.keys.map((key) => [key, team] as const)),
    );
    this.services = new Map(plan.services.map((service) => [service.name, service]));
  }

  /** Finds the route of the host with the longest prefix that matches the path. */
  public findRoute(host: string, path: string): Route | undefined {
    const hostRoutes = this.routes.get(normaliseHost(host));
    if (hostRoutes === undefined) return undefined;
    let end = path.lastIndexOf('/');
    while (end >= 0) {
      const route = hostRoutes.get(path.slice(0, end + 1));
      if (route !== undefined) return route;
      end = end === 0 ? -1 : path.lastIndexOf('/', end - 1);
    }
    return undefined;
  }

  /** Looks up the team of a key. Open routes, and plans without teams, need no key. */
  public findTeam(route: Route, key: string | undefined): KeyLookup {
    const team = key === undefined ? undefined : this.teamsByKey.get(key);
    if (team !== undefined) return { kind: 'team', team };
    if (route.isOpen || !this.plan.hasTeams) return { kind: 'open' };
    return { kind: 'unknown' };
  }

  /** Whether another plan sends a request the same way, for the same team. */
  public handlesAlike(
    other: RouteTable,
    host: string,
    path: string,
    key: string | undefined,
  ): boolean {
    const [own, theirs] = [this, other].map((table) => {
      const route = table.findRoute(host, path);
      const lookup = route === undefined ? undefined : table.findTeam(route, key);
      const team = lookup?.kind === 'team' ? lookup.team.name : lookup?.kind;
      return { route, team };
    });
    return isDeepStrictEqual(own, theirs);
  }

  public findService(name: string): Service | undefined {
    return this.services.get(name);
  }
}

/** Picks one service of a route in proportion to the weights. `fraction` is a random number in [0, 1). */
export function pickService(route: Route, fraction: number): string {
  const total = route.shares.reduce((sum, { weight }) => sum + weight, 0);
  let remaining = fraction * total;
  const chosen = route.shares.find(({ weight }) => {
    remaining -= weight;
    return remaining < 0;
  });
  return (chosen ?? route.shares[0]!).service;
}
