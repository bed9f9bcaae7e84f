/** Differences of keys, routes and services. */
import type { Lists, Route, Service } from './schema.js';
import type { Difference } from './types.js';

const own = <T>(record: Readonly<Record<string, T>>, id: string): T | undefined =>
  Object.hasOwn(record, id) ? record[id] : undefined;

const idsOf = (a: object, b: object): string[] =>
  [...new Set([...Object.keys(a), ...Object.keys(b)])].sort();

function teamByKey({ teams }: Lists): Map<string, string> {
  const pairs = Object.entries(teams).flatMap(([team, { keys }]) =>
    keys.map((keyId): [string, string] => [keyId, team]),
  );
  return new Map(pairs);
}

/** A key named for another team stops working: it was issued for the first one. */
export function diffKeys(before: Lists, after: Lists): Difference[] {
  const old = teamByKey(before);
  const now = teamByKey(after);
  const ids = [...new Set([...old.keys(), ...now.keys()])].sort();
  return ids.flatMap((id): Difference[] => {
    const oldTeam = old.get(id);
    const newTeam = now.get(id);
    if (oldTeam === newTeam) return [];
    const differences: Difference[] = [];
    if (oldTeam !== undefined) {
      const text = `key ${id} of team ${oldTeam} stops working`;
      differences.push({ subject: 'key', isLoss: true, text });
    }
    if (newTeam !== undefined) {
      const text = `key ${id} is named for team ${newTeam} and works if it was issued for it`;
      differences.push({ subject: 'key', isLoss: false, text });
    }
    return differences;
  });
}

const describeRoute = ({ methods, path, service, open }: Route): string =>
  `${[...methods].sort().join(', ')} ${path} on service ${service}${open ? ', open to all' : ''}`;

function changedRoute(id: string, old: Route, now: Route): Difference[] {
  const lines: [boolean, string][] = [];
  const methodsBefore = [...new Set(old.methods)].sort().join(', ');
  const methodsAfter = [...new Set(now.methods)].sort().join(', ');
  const isMethodLost = old.methods.some((method) => !now.methods.includes(method));
  if (methodsBefore !== methodsAfter) {
    lines.push([isMethodLost, `methods ${methodsBefore} -> ${methodsAfter}`]);
  }
  if (old.path !== now.path) lines.push([true, `path ${old.path} -> ${now.path}`]);
  if (old.service !== now.service) {
    lines.push([false, `answered by service ${now.service} instead of ${old.service}`]);
  }
  if (old.open !== now.open) {
    lines.push([!now.open, now.open ? 'open to all, needs no key any more' : 'now needs a key']);
  }
  if (old.idempotent !== now.idempotent) {
    const text = now.idempotent
      ? 'now idempotent: a request may be sent again after it may have run'
      : 'no longer idempotent: a request is never sent again after it may have run';
    lines.push([false, text]);
  }
  if (old.timeoutMs !== now.timeoutMs) {
    const isLoss = now.timeoutMs < old.timeoutMs;
    lines.push([isLoss, `timeout ${old.timeoutMs} -> ${now.timeoutMs} ms`]);
  }
  if (old.maxBodyBytes !== now.maxBodyBytes) {
    const isLoss = now.maxBodyBytes < old.maxBodyBytes;
    lines.push([isLoss, `largest body ${old.maxBodyBytes} -> ${now.maxBodyBytes} bytes`]);
  }
  return lines.map(([isLoss, text]) => ({
    subject: 'route',
    isLoss,
    text: `route ${id}: ${text}`,
  }));
}

export function diffRoutes(before: Lists, after: Lists): Difference[] {
  return idsOf(before.routes, after.routes).flatMap((id): Difference[] => {
    const old = own(before.routes, id);
    const now = own(after.routes, id);
    if (old !== undefined && now !== undefined) return changedRoute(id, old, now);
    const route = old ?? now;
    const change = now === undefined ? 'is removed' : 'is new';
    const details = route === undefined ? '' : `: ${describeRoute(route)}`;
    const text = `route ${id} ${change}${details}`;
    return [{ subject: 'route', isLoss: now === undefined, text }];
  });
}

function changedService(id: string, old: Service, now: Service): string[] {
  const texts: string[] = [];
  if (old.profile !== now.profile) texts.push(`profile ${old.profile} -> ${now.profile}`);
  if (old.floor !== now.floor) texts.push(`floor ${old.floor} -> ${now.floor} of the targets`);
  return texts.map((text) => `service ${id}: ${text}`);
}

export function diffServices(before: Lists, after: Lists): Difference[] {
  return idsOf(before.services, after.services).flatMap((id): Difference[] => {
    const old = own(before.services, id);
    const now = own(after.services, id);
    if (old !== undefined && now !== undefined) {
      return changedService(id, old, now).map((text) => ({
        subject: 'service',
        isLoss: false,
        text,
      }));
    }
    const details = now === undefined ? 'is removed' : `is new: ${now.profile}, floor ${now.floor}`;
    const text = `service ${id} ${details}`;
    return [{ subject: 'service', isLoss: now === undefined, text }];
  });
}
