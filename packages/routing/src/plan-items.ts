/** Splits a plan into keyed items, so that a new version can be sent as the difference from an older one. */
import { z } from 'zod';
import type { PlanLimits, Route, RoutingPlan, Service, Team } from './plan.js';

/** Each item as JSON, by its key. */
export type PlanItems = ReadonlyMap<string, string>;

export interface PlanChange {
  readonly key: string;
  /** Empty for a removed item. */
  readonly value: string;
}

const ROUTE = 'route ';
const SERVICE = 'service ';
const TEAM = 'team ';
const LIMITS = 'limits';
const HAS_TEAMS = 'hasTeams';

export function toPlanItems(plan: RoutingPlan): PlanItems {
  return new Map<string, string>(
    [
      ...plan.routes.map((route) => [`${ROUTE}${route.host}${route.prefix}`, route] as const),
      ...plan.services.map((service) => [`${SERVICE}${service.name}`, service] as const),
      ...plan.teams.map((team) => [`${TEAM}${team.name}`, team] as const),
      [LIMITS, plan.limits] as const,
      [HAS_TEAMS, plan.hasTeams] as const,
    ].map(([key, value]) => [key, JSON.stringify(value)]),
  );
}

/** The changes that turn `from` into `to`. */
export function diffPlanItems(from: PlanItems, to: PlanItems): PlanChange[] {
  const removed = [...from.keys()].filter((key) => !to.has(key));
  const changed = [...to].filter(([key, value]) => from.get(key) !== value);
  return [
    ...removed.map((key) => ({ key, value: '' })),
    ...changed.map(([key, value]) => ({ key, value })),
  ];
}

/** Encodes changes as a JSON array of key and value pairs. */
export function encodePlanChanges(changes: readonly PlanChange[]): Uint8Array {
  return Buffer.from(JSON.stringify(changes.map(({ key, value }) => [key, value])));
}

const encodedChangesSchema = z.array(z.tuple([z.string(), z.string()]));

/** Decodes the output of `encodePlanChanges`. Throws if the bytes have another format. */
export function decodePlanChanges(bytes: Uint8Array): PlanChange[] {
  const pairs = encodedChangesSchema.parse(JSON.parse(Buffer.from(bytes).toString()));
  return pairs.map(([key, value]) => ({ key, value }));
}

/** Returns a copy of the items with the changes applied. */
export function applyPlanChanges(items: PlanItems, changes: readonly PlanChange[]): PlanItems {
  const next = new Map(items);
  changes.forEach(({ key, value }) => {
    if (value === '') next.delete(key);
    else next.set(key, value);
  });
  return next;
}

function parseItems<T>(items: PlanItems, prefix: string): T[] {
  return [...items]
    .filter(([key]) => key.startsWith(prefix))
    .map(([, value]) => JSON.parse(value) as T);
}

/** Rebuilds a plan from its items. They are not validated: the plan was, before it was split. */
export function fromPlanItems(version: number, items: PlanItems): RoutingPlan {
  return {
    version,
    routes: parseItems<Route>(items, ROUTE),
    services: parseItems<Service>(items, SERVICE),
    teams: parseItems<Team>(items, TEAM),
    hasTeams: items.get(HAS_TEAMS) === 'true',
    limits: JSON.parse(items.get(LIMITS) ?? '{}') as PlanLimits,
  };
}
