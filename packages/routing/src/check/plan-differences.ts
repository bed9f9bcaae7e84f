/** Says in words what a plan changes of the one in force. Keys are secrets, so that only their number is named. */
import type { Route, RoutingPlan, Team } from '../plan.js';

export interface PlanDifference {
  /** `removed` takes something away from callers. */
  readonly kind: 'removed' | 'changed' | 'added';
  /** Name of the entry, such as `route orders`. */
  readonly subject: string;
  readonly detail: string;
}

type Fields = Readonly<Record<string, unknown>>;

const KIND_ORDER: readonly PlanDifference['kind'][] = ['removed', 'changed', 'added'];

function placeOf({ host, prefix }: Route): string {
  return `route ${host}${prefix}`;
}

function routeFields({ host: _, prefix: __, shares, ...fields }: Route): Fields {
  const total = shares.reduce((sum, { weight }) => sum + weight, 0);
  const services = shares.map(({ service, weight }) =>
    shares.length === 1 ? service : `${service} ${Math.round((100 * weight) / total)}%`,
  );
  return { services: services.join(', '), ...fields };
}

function teamFields({ keys: _, ...fields }: Team): Fields {
  return fields;
}

function show(value: unknown): string {
  return value === undefined ? 'none' : String(value);
}

function changedFields(before: Fields, after: Fields): readonly string[] {
  return [...new Set([...Object.keys(before), ...Object.keys(after)])]
    .filter((field) => before[field] !== after[field])
    .map((field) => `${field} ${show(before[field])} -> ${show(after[field])}`);
}

/** Compares entries by their keys. */
function compare<T>(
  before: readonly T[],
  after: readonly T[],
  keyOf: (item: T) => string,
  fieldsOf: (item: T) => Fields,
): readonly PlanDifference[] {
  const old = new Map(before.map((item) => [keyOf(item), item]));
  const next = new Map(after.map((item) => [keyOf(item), item]));
  const changed = after.flatMap((item): PlanDifference[] => {
    const subject = keyOf(item);
    const known = old.get(subject);
    if (known === undefined) return [{ kind: 'added', subject, detail: '' }];
    const fields = changedFields(fieldsOf(known), fieldsOf(item));
    return fields.length === 0 ? [] : [{ kind: 'changed', subject, detail: fields.join(', ') }];
  });
  const removed = before
    .filter((item) => !next.has(keyOf(item)))
    .map((item): PlanDifference => ({ kind: 'removed', subject: keyOf(item), detail: '' }));
  return [...removed, ...changed];
}

/** Keys that are withdrawn or given. A key that moves to another team counts as both. */
function compareKeys(before: readonly Team[], after: readonly Team[]): readonly PlanDifference[] {
  const keysIn = (teams: readonly Team[], name: string): ReadonlySet<string> =>
    new Set(teams.find((team) => team.name === name)?.keys);
  const names = [...new Set([...before, ...after].map(({ name }) => name))];
  return names.flatMap((name): PlanDifference[] => {
    const [old, next] = [keysIn(before, name), keysIn(after, name)];
    const withdrawn = [...old].filter((key) => !next.has(key)).length;
    const given = [...next].filter((key) => !old.has(key)).length;
    const subject = `team ${name}`;
    return [
      ...(withdrawn === 0
        ? []
        : [{ kind: 'removed', subject, detail: `keys withdrawn: ${withdrawn}` } as const]),
      ...(given === 0 ? [] : [{ kind: 'added', subject, detail: `keys given: ${given}` } as const]),
    ];
  });
}

/** What `after` changes of `before`, removals first. Versions are not compared. */
export function comparePlans(before: RoutingPlan, after: RoutingPlan): readonly PlanDifference[] {
  const all = [
    ...compare(before.routes, after.routes, placeOf, routeFields),
    ...compare(
      before.services,
      after.services,
      ({ name }) => `service ${name}`,
      (item) => item,
    ),
    ...compare(before.teams, after.teams, ({ name }) => `team ${name}`, teamFields),
    ...compareKeys(before.teams, after.teams),
    ...compare(
      [before.limits],
      [after.limits],
      () => 'limits',
      (item) => item,
    ),
    ...compare(
      [before],
      [after],
      () => 'teams',
      ({ hasTeams }) => ({ 'keys needed': hasTeams }),
    ),
  ];
  return KIND_ORDER.flatMap((kind) => all.filter((difference) => difference.kind === kind));
}
