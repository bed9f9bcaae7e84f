/** Differences of keys, routes and services. */
import type { Lists, Route, Service } from './schema.js';
import type { Difference } from './types.js';

const ownValue = <T>(record: Readonly<Record<string, T>>, id: string): T | undefined =>
  Object.hasOwn(record, id) ? record[id] : undefined;

const idsOf = (a: object, b: object): string[] =>
  [...new Set([...Object.keys(a), ...Object.keys(b)])].sort();

function teamByKey({ teams }: Lists): Map<string, string> {
  const pairs = Object.entries(teams).flatMap(([team, { keys }]) =>
    keys.map((keyId): [string, string] => [keyId, team]),
  );
  return new Map(pairs);
}

/** A key that is moved to another team stops working, because it was issued for the first one. */
export function diffKeys(before: Lists, after: Lists): Difference[] {
  const teamsBefore = teamByKey(before);
  const teamsAfter = teamByKey(after);
  const ids = [...new Set([...teamsBefore.keys(), ...teamsAfter.keys()])].sort();
  return ids.flatMap((id): Difference[] => {
    const teamBefore = teamsBefore.get(id);
    const teamAfter = teamsAfter.get(id);
    if (teamBefore === teamAfter) return [];
    const differences: Difference[] = [];
    if (teamBefore !== undefined) {
      const text = `key ${id} of team ${teamBefore} stops working`;
      differences.push({ subject: 'key', isLoss: true, text });
    }
    if (teamAfter !== undefined) {
      const text = `key ${id} is named for team ${teamAfter} and works if it was issued for it`;
      differences.push({ subject: 'key', isLoss: false, text });
    }
    return differences;
  });
}

const describeRoute = ({ methods, path, service, open }: Route): string =>
  `${[...methods].sort().join(', ')} ${path} on service ${service}${open ? ', open to all' : ''}`;

function changedRoute(id: string, old: Route, next: Route): Difference[] {
  const lines: [boolean, string][] = [];
  const methodsBefore = [...new Set(old.methods)].sort().join(', ');
  const methodsAfter = [...new Set(next.methods)].sort().join(', ');
  const isMethodLost = old.methods.some((method) => !next.methods.includes(method));
  if (methodsBefore !== methodsAfter) {
    lines.push([isMethodLost, `methods ${methodsBefore} -> ${methodsAfter}`]);
  }
  if (old.path !== next.path) lines.push([true, `path ${old.path} -> ${next.path}`]);
  if (old.service !== next.service) {
    lines.push([false, `answered by service ${next.service} instead of ${old.service}`]);
  }
  if (old.open !== next.open) {
    lines.push([!next.open, next.open ? 'open to all, needs no key any more' : 'now needs a key']);
  }
  if (old.idempotent !== next.idempotent) {
    const text = next.idempotent
      ? 'now idempotent: a request may be sent again after it may have run'
      : 'no longer idempotent: a request is never sent again after it may have run';
    lines.push([false, text]);
  }
  if (old.timeoutMs !== next.timeoutMs) {
    const isLoss = next.timeoutMs < old.timeoutMs;
    lines.push([isLoss, `timeout ${old.timeoutMs} -> ${next.timeoutMs} ms`]);
  }
  if (old.maxBodyBytes !== next.maxBodyBytes) {
    const isLoss = next.maxBodyBytes < old.maxBodyBytes;
    lines.push([isLoss, `largest body ${old.maxBodyBytes} -> ${next.maxBodyBytes} bytes`]);
  }
  return lines.map(([isLoss, text]) => ({
    subject: 'route',
    isLoss,
    text: `route ${id}: ${text}`,
  }));
}

export function diffRoutes(before: Lists, after: Lists): Difference[] {
  return idsOf(before.routes, after.routes).flatMap((id): Difference[] => {
    const old = ownValue(before.routes, id);
    const next = ownValue(after.routes, id);
    if (old !== undefined && next !== undefined) return changedRoute(id, old, next);
    const route = old ?? next;
    const change = next === undefined ? 'is removed' : 'is new';
    const details = route === undefined ? '' : `: ${describeRoute(route)}`;
    const text = `route ${id} ${change}${details}`;
    return [{ subject: 'route', isLoss: next === undefined, text }];
  });
}

function changedService(id: string, old: Service, next: Service): string[] {
  const texts: string[] = [];
  if (old.profile !== next.profile) texts.push(`profile ${old.profile} -> ${next.profile}`);
  if (old.floor !== next.floor) texts.push(`floor ${old.floor} -> ${next.floor} of the targets`);
  return texts.map((text) => `service ${id}: ${text}`);
}

export function diffServices(before: Lists, after: Lists): Difference[] {
  return idsOf(before.services, after.services).flatMap((id): Difference[] => {
    const old = ownValue(before.services, id);
    const next = ownValue(after.services, id);
    if (old !== undefined && next !== undefined) {
      return changedService(id, old, next).map((text) => ({
        subject: 'service',
        isLoss: false,
        text,
      }));
    }
    const details =
      next === undefined ? 'is removed' : `is new: ${next.profile}, floor ${next.floor}`;
    const text = `service ${id} ${details}`;
    return [{ subject: 'service', isLoss: next === undefined, text }];
  });
}
