/** Indexes the two lists with maps and a trie. */
import type { CompiledRoute, ICompiledLists, RouteMatch } from './compiled.js';
import { RouteTrie } from './RouteTrie.js';
import type { Lists, Plan, Service } from './schema.js';

interface CompiledPlan {
  readonly plan: Plan;
  readonly routes: ReadonlySet<string>;
  readonly services: ReadonlySet<string>;
}

const NOT_FOUND: RouteMatch = { kind: 'notFound' };

/**
 * Lookups over lists that passed `checkLists`, indexed once per revision. The time of a lookup depends at most on the
 * length of the path. A key id listed by two teams belongs to neither, so that a mistake in the lists cannot give one
 * team the access of another.
 */
export class CompiledLists implements ICompiledLists {
  private readonly trie = new RouteTrie<CompiledRoute>();

  private readonly routes = new Map<string, CompiledRoute>();

  private readonly plans = new Map<string, CompiledPlan>();

  private readonly services: ReadonlyMap<string, Service>;

  private readonly planOfTeam = new Map<string, CompiledPlan>();

  private readonly teamByKey = new Map<string, string | undefined>();

  public constructor(public readonly lists: Lists) {
    this.services = new Map(Object.entries(lists.services));
    this.addRoutes();
    this.addPlans();
    this.addTeams();
  }

  public matchRoute(method: string, path: string): RouteMatch {
    const match = this.trie.match(method, path);
    if (match.kind === 'matched') return { kind: 'matched', route: match.value };
    if (match.methods.length === 0) return NOT_FOUND;
    return { kind: 'methodNotAllowed', allowed: [...match.methods].sort() };
  }

  public teamOfKey(keyId: string): string | undefined {
    return this.teamByKey.get(keyId);
  }

  /** Whether the team's plan allows the route; open routes are allowed to every team. */
  public isRouteAllowed(team: string, routeId: string): boolean {
    const route = this.routes.get(routeId);
    if (route === undefined) return false;
    if (route.open) return true;
    const plan = this.planOfTeam.get(team);
    if (plan === undefined) return false;
    return plan.routes.has(routeId) || plan.services.has(route.service);
  }

  public planOf(team: string): Plan | undefined {
    return this.planOfTeam.get(team)?.plan;
  }

  public service(id: string): Service | undefined {
    return this.services.get(id);
  }

  /** Ids of the routes that a plan allows, without open ones, sorted. Scans all routes, so not for the request path. */
  public routesOfPlan(planId: string): string[] {
    const plan = this.plans.get(planId);
    if (plan === undefined) return [];
    return [...this.routes.values()]
      .filter(({ open }) => !open)
      .filter(({ id, service }) => plan.routes.has(id) || plan.services.has(service))
      .map(({ id }) => id)
      .sort();
  }

  private addRoutes(): void {
    Object.entries(this.lists.routes).forEach(([id, route]) => {
      const compiled: CompiledRoute = { ...route, id };
      this.routes.set(id, compiled);
      route.methods.forEach((method) => this.trie.add(method, route.path, compiled));
    });
  }

  private addPlans(): void {
    Object.entries(this.lists.plans).forEach(([id, plan]) => {
      this.plans.set(id, {
        plan,
        routes: new Set(plan.routes),
        services: new Set(plan.services),
      });
    });
  }

  private addTeams(): void {
    Object.entries(this.lists.teams).forEach(([id, team]) => {
      const plan = this.plans.get(team.plan);
      if (plan !== undefined) this.planOfTeam.set(id, plan);
      team.keys.forEach((keyId) => this.addKey(keyId, id));
    });
  }

  private addKey(keyId: string, team: string): void {
    const isShared = this.teamByKey.has(keyId) && this.teamByKey.get(keyId) !== team;
    this.teamByKey.set(keyId, isShared ? undefined : team);
  }
}
