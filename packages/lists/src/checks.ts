/** Checks of the lists that their schemas cannot express, such as references between them. */
import type { KeyPath, Severity } from './problems.js';
import { formatPath } from './problems.js';
import { pathShape, splitPath } from './RouteTrie.js';
import type { Lists } from './schema.js';
import { suggest } from './suggestions.js';

/** An error or warning about the value at a path of the lists, without a position in a file. */
export interface Finding {
  readonly severity: Severity;
  /** Which of the two lists holds the path. */
  readonly list: 'teams' | 'plans';
  readonly path: KeyPath;
  readonly expected: string;
  readonly found: string;
  readonly hint?: string;
}

/** A higher floor gets a warning, because the service needs many targets before one of them can be ejected. */
const HIGH_FLOOR = 0.9;
const MIN_BURST = 1;

const quote = (text: string): string => JSON.stringify(text);

function checkTeams({ teams, plans }: Lists): Finding[] {
  const planIds = Object.keys(plans);
  return Object.entries(teams)
    .filter(([, { plan }]) => !Object.hasOwn(plans, plan))
    .map(([id, { plan }]) => ({
      severity: 'error',
      list: 'teams',
      path: ['teams', id, 'plan'],
      expected: 'a plan defined in the list of plans',
      found: `the unknown plan ${quote(plan)}`,
      hint: suggest(plan, planIds),
    }));
}

/** Reports key ids that occur more than once in the lists. */
function checkKeys({ teams }: Lists): Finding[] {
  const teamByKey = new Map<string, string>();
  return Object.entries(teams).flatMap(([team, { keys }]) =>
    keys.flatMap((keyId, i): Finding[] => {
      const firstTeamOfKey = teamByKey.get(keyId);
      if (firstTeamOfKey === undefined) {
        teamByKey.set(keyId, team);
        return [];
      }
      const finding: Finding = {
        severity: 'error',
        list: 'teams',
        path: ['teams', team, 'keys', i],
        expected: 'a key id that no other place names',
        found: `${quote(keyId)}, which team ${firstTeamOfKey} already has`,
      };
      return [finding];
    }),
  );
}

function checkServices({ services, routes }: Lists): Finding[] {
  const used = new Set(Object.values(routes).map(({ service }) => service));
  return Object.entries(services).flatMap(([id, { floor }]) => {
    const findings: Finding[] = [];
    const common = { list: 'plans' as const, path: ['services', id, 'floor'] };
    if (floor >= 1) {
      findings.push({
        ...common,
        severity: 'error',
        expected: 'less than 1, since with 1 no target can ever be ejected',
        found: String(floor),
      });
    } else if (floor > HIGH_FLOOR) {
      const needed = Math.ceil(1 / (1 - floor));
      findings.push({
        ...common,
        severity: 'warning',
        expected: `at most ${HIGH_FLOOR}`,
        found: `${floor}, with which no target is ejected while fewer than ${needed} are announced`,
      });
    }
    if (!used.has(id)) {
      findings.push({
        severity: 'warning',
        list: 'plans',
        path: ['services', id],
        expected: 'at least one route',
        found: 'a service without routes',
      });
    }
    return findings;
  });
}

function checkRoutePath(id: string, path: string): Finding[] {
  const segments = splitPath(path);
  const common = {
    severity: 'error' as const,
    list: 'plans' as const,
    path: ['routes', id, 'path'],
    found: quote(path),
  };
  const findings: Finding[] = [];
  if (segments.slice(0, -1).includes('*')) {
    findings.push({ ...common, expected: '`*` only as the last segment' });
  }
  if (segments.some((segment) => segment === '.' || segment === '..')) {
    findings.push({ ...common, expected: 'a path without `.` and `..`, which no request has' });
  }
  const names = segments.filter((segment) => segment.startsWith(':'));
  if (new Set(names).size < names.length) {
    findings.push({ ...common, expected: 'each parameter name once' });
  }
  return findings;
}

/** Reports routes with the same method and path shape, since they match the same requests. */
function checkOverlaps({ routes }: Lists): Finding[] {
  const routeByPattern = new Map<string, string>();
  return Object.entries(routes).flatMap(([id, { methods, path }]) =>
    [...new Set(methods)].flatMap((method): Finding[] => {
      const key = `${method} ${pathShape(path)}`;
      const otherRoute = routeByPattern.get(key);
      if (otherRoute === undefined) {
        routeByPattern.set(key, id);
        return [];
      }
      const finding: Finding = {
        severity: 'error',
        list: 'plans',
        path: ['routes', id, 'path'],
        expected: 'a method and path that no other route matches',
        found: `${method} ${path}, which route ${otherRoute} already matches`,
      };
      return [finding];
    }),
  );
}

function checkRoutes(lists: Lists): Finding[] {
  const serviceIds = Object.keys(lists.services);
  const findings = Object.entries(lists.routes).flatMap(([id, { service, path }]) => {
    const pathFindings = checkRoutePath(id, path);
    if (Object.hasOwn(lists.services, service)) return pathFindings;
    const unknownService: Finding = {
      severity: 'error',
      list: 'plans',
      path: ['routes', id, 'service'],
      expected: 'a service defined in the same list',
      found: `the unknown service ${quote(service)}`,
      hint: suggest(service, serviceIds),
    };
    return [...pathFindings, unknownService];
  });
  return [...findings, ...checkOverlaps(lists)];
}

function checkReferences(
  planId: string,
  field: 'routes' | 'services',
  names: readonly string[],
  known: Readonly<Record<string, unknown>>,
): Finding[] {
  return names
    .map((name, i) => ({ name, i }))
    .filter(({ name }) => !Object.hasOwn(known, name))
    .map(({ name, i }) => ({
      severity: 'error',
      list: 'plans',
      path: ['plans', planId, field, i],
      expected: `one of the ${field} defined in the same list`,
      found: `the unknown name ${quote(name)}`,
      hint: suggest(name, Object.keys(known)),
    }));
}

function checkPlans(lists: Lists): Finding[] {
  const usedPlans = new Set(Object.values(lists.teams).map(({ plan }) => plan));
  return Object.entries(lists.plans).flatMap(([id, { burst, routes, services }]) => {
    const findings = [
      ...checkReferences(id, 'routes', routes, lists.routes),
      ...checkReferences(id, 'services', services, lists.services),
    ];
    const common = { list: 'plans' as const, path: ['plans', id] };
    if (burst < MIN_BURST) {
      findings.push({
        ...common,
        severity: 'error',
        path: ['plans', id, 'burst'],
        expected: 'at least 1, since otherwise no request is ever within the burst',
        found: String(burst),
      });
    }
    if (routes.length === 0 && services.length === 0) {
      findings.push({
        ...common,
        severity: 'warning',
        expected: 'at least one route or service',
        found: 'a plan that allows nothing',
      });
    }
    if (!usedPlans.has(id)) {
      findings.push({
        ...common,
        severity: 'warning',
        expected: 'at least one team on the plan',
        found: 'a plan that no team uses',
      });
    }
    return findings;
  });
}

/** All errors and warnings about lists that satisfy the schema. */
export function checkLists(lists: Lists): Finding[] {
  return [
    ...checkTeams(lists),
    ...checkKeys(lists),
    ...checkServices(lists),
    ...checkRoutes(lists),
    ...checkPlans(lists),
  ];
}

/** The errors as lines of text, for lists that did not come from a file. */
export function listErrors(lists: Lists): string[] {
  return checkLists(lists)
    .filter(({ severity }) => severity === 'error')
    .map(
      ({ path, expected, found }) => `${formatPath(path)}: expected ${expected}, found ${found}`,
    );
}
