/** Lookup of routes, keys and services in one plan. */
import type { Route, RoutingPlan, Service, Team } from './plan.js';

/** Answer to the question whose key it is. */
export type KeyLookup =
  | { readonly kind: 'team'; readonly team: Team }
  | { readonly kind: 'open' }
  | { readonly kind: 'unknown' };

const PORT_SUFFIX = /:\d+$/;

/** Host of a `Host` header as plans write it. */
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
      const ofHost = routes.get(route.host) ?? new Map<string, Route>();
      ofHost.set(route.prefix, route);
      routes.set(route.host, ofHost);
    });
    this.routes = routes;
    this.teamsByKey = new Map(
      plan.teams.flatMap((team) => team.keys.map((key) => [key, team] as const)),
    );
    this.services = new Map(plan.services.map((service) => [service.name, service]));
  }

  /** The route of the host with the longest prefix that begins the path. */
  public findRoute(host: string, path: string): Route | undefined {
    const ofHost = this.routes.get(normaliseHost(host));
    if (ofHost === undefined) return undefined;
    let end = path.lastIndexOf('/');
    while (end >= 0) {
      const route = ofHost.get(path.slice(0, end + 1));
      if (route !== undefined) return route;
      end = end === 0 ? -1 : path.lastIndexOf('/', end - 1);
    }
    return undefined;
  }

  /** The team of a key on a route. */
  public findTeam(route: Route, key: string | undefined): KeyLookup {
    const team = key === undefined ? undefined : this.teamsByKey.get(key);
    if (team !== undefined) return { kind: 'team', team };
    if (route.isOpen || !this.plan.hasTeams) return { kind: 'open' };
    return { kind: 'unknown' };
  }

  public findService(name: string): Service | undefined {
    return this.services.get(name);
  }
}

/** Picks one service of a route in proportion to the weights. `point` lies in [0, 1). */
export function pickService(route: Route, point: number): string {
  const total = route.shares.reduce((sum, { weight }) => sum + weight, 0);
  let rest = point * total;
  const chosen = route.shares.find(({ weight }) => {
    rest -= weight;
    return rest < 0;
  });
  return (chosen ?? route.shares[0]!).service;
}
