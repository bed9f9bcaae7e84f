/** Finds what is valid in a plan and most likely not meant: entries without any effect, and limits that contradict each other. */
import type { Route, RoutingPlan, Service, Team } from '../plan.js';

export interface PlanWarning {
  /** `unreachable`: no request can ever meet the entry. `contradiction`: one value keeps another one from taking effect. */
  readonly kind: 'unreachable' | 'contradiction';
  /** Name of the entry, such as `route orders`. */
  readonly subject: string;
  readonly detail: string;
}

/** Entries send one request to at most this many targets. */
const MAX_SENDS = 4;

/** Characters of a path that callers have to encode, or that end it. */
const IMPOSSIBLE_IN_PATH = /[?#\s]|[^\x20-\x7e]/;

const IMPOSSIBLE_IN_HOST = /[:/\s]/;

function unreachable(subject: string, detail: string): PlanWarning {
  return { kind: 'unreachable', subject, detail };
}

function contradiction(subject: string, detail: string): PlanWarning {
  return { kind: 'contradiction', subject, detail };
}

function when(condition: boolean, warning: () => PlanWarning): readonly PlanWarning[] {
  return condition ? [warning()] : [];
}

function routeWarnings(route: Route): readonly PlanWarning[] {
  const { host, prefix, shares, objectiveMs, timeoutMs, maxTargets, isIdempotent } = route;
  const subject = `route ${route.name}`;
  const unused = shares.filter(({ weight }) => weight === 0);
  return [
    ...when(IMPOSSIBLE_IN_HOST.test(host), () =>
      unreachable(subject, `the host ${host} is compared without a port and matches no request`),
    ),
    ...when(IMPOSSIBLE_IN_PATH.test(prefix), () =>
      unreachable(subject, `no path of a request starts with ${JSON.stringify(prefix)}`),
    ),
    ...unused.map(({ service }) =>
      unreachable(subject, `the service ${service} has the weight 0 and gets no request`),
    ),
    ...when(objectiveMs > timeoutMs, () =>
      contradiction(
        subject,
        `requests end after ${timeoutMs} ms, before the objective of ${objectiveMs} ms`,
      ),
    ),
    ...when(!isIdempotent && maxTargets > 1, () =>
      contradiction(
        subject,
        `${maxTargets} targets are allowed, but a request that must not be repeated runs at one`,
      ),
    ),
    ...when(isIdempotent && maxTargets > MAX_SENDS, () =>
      contradiction(
        subject,
        `${maxTargets} targets are allowed, but a request is sent to ${MAX_SENDS} at most`,
      ),
    ),
  ];
}

function teamWarnings({ name, keys, ratePerSecond, burst }: Team): readonly PlanWarning[] {
  const subject = `team ${name}`;
  return [
    ...when(keys.length === 0, () => unreachable(subject, 'it has no key, so no request is its')),
    ...when(ratePerSecond === 0 && burst > 0, () =>
      contradiction(subject, `a burst of ${burst} has no effect without a rate`),
    ),
    ...when(ratePerSecond > 0 && burst < 1, () =>
      contradiction(subject, `with a burst of ${burst}, none of its requests is admitted`),
    ),
  ];
}

function serviceWarnings(
  { name, coldMs, coldPerSecond }: Service,
  used: ReadonlySet<string>,
): readonly PlanWarning[] {
  const subject = `service ${name}`;
  return [
    ...when(!used.has(name), () => unreachable(subject, 'no route leads to it')),
    ...when(coldPerSecond !== undefined && (coldMs ?? 0) === 0, () =>
      contradiction(subject, 'a rate for cold targets has no effect, as none is ever cold'),
    ),
  ];
}

function planWideWarnings({
  routes,
  teams,
  hasTeams,
  limits,
}: RoutingPlan): readonly PlanWarning[] {
  const closed = routes.filter(({ isOpen }) => !isOpen);
  const hasKey = teams.some(({ keys }) => keys.length > 0);
  const isOverridden = hasTeams && hasKey && closed.length === routes.length && routes.length > 0;
  const { headersTimeoutMs, idleTimeoutMs } = limits;
  return [
    ...when(hasTeams && !hasKey && closed.length > 0, () =>
      unreachable('routes', `${closed.length} of them need a key, and no team has one`),
    ),
    ...when(isOverridden && teams.every(({ priority }) => priority !== undefined), () =>
      contradiction('routes', 'their priorities have no effect, as each team has one of its own'),
    ),
    ...when(headersTimeoutMs > idleTimeoutMs, () =>
      contradiction(
        'limits',
        `an idle connection is closed after ${idleTimeoutMs} ms, before the ${headersTimeoutMs} ms for a head`,
      ),
    ),
  ];
}

/** Warnings for a plan without problems, in the order of its entries. */
export function findPlanWarnings(plan: RoutingPlan): readonly PlanWarning[] {
  const used = new Set(
    plan.routes.flatMap(({ shares }) =>
      shares.filter(({ weight }) => weight > 0).map(({ service }) => service),
    ),
  );
  return [
    ...plan.routes.flatMap(routeWarnings),
    ...plan.services.flatMap((service) => serviceWarnings(service, used)),
    ...plan.teams.flatMap(teamWarnings),
    ...planWideWarnings(plan),
  ];
}
