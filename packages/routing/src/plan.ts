/** The routing plan: routes, services, teams and limits of one version of the configuration. */
import { z } from 'zod';

const milliseconds = z.number().positive();

/** Share of a route's requests that goes to one service, in proportion to the weights. */
const shareSchema = z.object({ service: z.string().min(1), weight: z.number().min(0) });

export const routeSchema = z.object({
  name: z.string(),
  /** Lower case, without a port. */
  host: z.string().min(1),
  /** Begins and ends with a slash. */
  prefix: z.string().regex(/^\/(?:.*\/)?$/),
  /** Whether a request may be executed more than once. */
  isIdempotent: z.boolean(),
  /** Whether bodies are large, so that they need room before they are read. */
  hasLargeBody: z.boolean().optional(),
  /** Maximum time to the final response. */
  timeoutMs: milliseconds,
  /** Latency objective. A response that takes longer is worth less. */
  objectiveMs: milliseconds,
  /** 0 is the highest priority. */
  priority: z.number().int().min(0),
  /** Maximum number of targets that may have run one request; targets that certainly did not are not counted. */
  maxTargets: z.number().int().min(1),
  /** Whether requests are accepted without a key. */
  isOpen: z.boolean(),
  shares: z.array(shareSchema).min(1),
});

export const serviceSchema = z.object({
  name: z.string().min(1),
  /** Maximum number of connections to one target, divided among the entries. */
  maxConnections: z.number().int().min(1),
  /** Longest time for which a target is cold. Absent in plans that name none, which are encoded as before. */
  coldMs: z.number().min(0).optional(),
  /** Requests a second that a cold target tolerates from all entries together; no bound if absent. */
  coldPerSecond: z.number().positive().optional(),
});

export const teamSchema = z.object({
  name: z.string().min(1),
  keys: z.array(z.string().min(1)),
  /** Overrides the priority of the route. */
  priority: z.number().int().min(0).optional(),
  /** 0 means no limit. */
  ratePerSecond: z.number().min(0),
  burst: z.number().min(0),
});

export const limitsSchema = z.object({
  maxHeaderBytes: z.number().int().positive(),
  maxBodyBytes: z.number().int().positive(),
  headersTimeoutMs: milliseconds,
  idleTimeoutMs: milliseconds,
});

export const planSchema = z.object({
  version: z.number().int().min(0),
  routes: z.array(routeSchema),
  services: z.array(serviceSchema),
  teams: z.array(teamSchema),
  /** Whether the configuration has a list of teams, even an empty one. Without a list, no request needs a key. */
  hasTeams: z.boolean(),
  limits: limitsSchema,
});

export type Route = z.infer<typeof routeSchema>;
export type Service = z.infer<typeof serviceSchema>;
export type Team = z.infer<typeof teamSchema>;
export type PlanLimits = z.infer<typeof limitsSchema>;
export type RoutingPlan = z.infer<typeof planSchema>;

/** Whether a version is newer than the one held. Any version is if none is held: 0 is a version like any other. */
export function isNewerVersion(version: number, held: number | undefined): boolean {
  return held === undefined || version > held;
}

/** The newest of the versions, undefined if there is none. */
export function newestVersion(...versions: readonly (number | undefined)[]): number | undefined {
  return versions.reduce(
    (newest, version) =>
      version !== undefined && isNewerVersion(version, newest) ? version : newest,
    undefined,
  );
}

function duplicatesOf(values: readonly string[]): string[] {
  const seen = new Set<string>();
  return values.filter((value) => seen.size === seen.add(value).size);
}

/** Checks what the schema cannot express, such as references and duplicates. Returns one message for each problem. */
export function findPlanProblems(plan: RoutingPlan): string[] {
  const services = new Set(plan.services.map(({ name }) => name));
  const unknownServices = plan.routes.flatMap(({ name, shares }) =>
    shares
      .filter(({ service }) => !services.has(service))
      .map(({ service }) => `route ${name} names the unknown service ${service}`),
  );
  const withoutWeight = plan.routes
    .filter(({ shares }) => shares.every(({ weight }) => weight === 0))
    .map(({ name }) => `route ${name} has no service with a weight above 0`);
  const locations = plan.routes.map(({ host, prefix }) => `${host}${prefix}`);
  return [
    ...unknownServices,
    ...withoutWeight,
    ...duplicatesOf(locations).map((place) => `two routes at ${place}`),
    ...duplicatesOf(plan.services.map(({ name }) => name)).map((name) => `two services ${name}`),
    ...duplicatesOf(plan.teams.map(({ name }) => name)).map((name) => `two teams ${name}`),
    // The key is a secret, so the message does not contain it.
    ...duplicatesOf(plan.teams.flatMap(({ keys }) => [...new Set(keys)])).map(
      () => 'two teams share a key',
    ),
  ];
}
