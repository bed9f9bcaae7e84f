/** Interface of the indexed lists, which are built once per revision. */
import type { Lists, Plan, Route, Service } from './schema.js';

/** A route with its id. */
export interface CompiledRoute extends Route {
  readonly id: string;
}

export type RouteMatch =
  | { readonly kind: 'matched'; readonly route: CompiledRoute }
  | { readonly kind: 'methodNotAllowed'; readonly allowed: readonly string[] }
  | { readonly kind: 'notFound' };

/** Lookups for the request path: none of them scans teams, routes or plans. */
export interface ICompiledLists {
  readonly lists: Lists;
  /** @param path normalised path without query string */
  matchRoute(method: string, path: string): RouteMatch;
  /** Team that lists the key id. */
  teamOfKey(keyId: string): string | undefined;
  isRouteAllowed(team: string, routeId: string): boolean;
  planOf(team: string): Plan | undefined;
  service(id: string): Service | undefined;
}
