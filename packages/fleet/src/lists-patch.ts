/** Differences between two versions of the lists, as written to the log. */
import { isDeepStrictEqual } from 'node:util';
import type { Lists } from '@marigoldbank/lists/schema';
import type { ListsPatch } from './changes.js';

function patchRecord<T>(
  before: Record<string, T>,
  after: Record<string, T>,
): Record<string, T | null> {
  const removed = Object.keys(before)
    .filter((id) => !Object.hasOwn(after, id))
    .map((id): [string, T | null] => [id, null]);
  const changed = Object.entries(after)
    .filter(([id, value]) => !Object.hasOwn(before, id) || !isDeepStrictEqual(before[id], value))
    .map(([id, value]): [string, T | null] => [id, value]);
  return Object.fromEntries([...removed, ...changed]);
}

function applyToRecord<T>(
  before: Record<string, T>,
  patch: Record<string, T | null>,
): Record<string, T> {
  const entries = Object.entries(patch);
  if (entries.length === 0) return before;
  const after = { ...before };
  entries.forEach(([id, value]) => {
    if (value === null) {
      delete after[id];
    } else {
      after[id] = value;
    }
  });
  return after;
}

/** The patch that turns `before` into `after`. */
export function makeListsPatch(before: Lists, after: Lists): ListsPatch {
  return {
    teams: patchRecord(before.teams, after.teams),
    services: patchRecord(before.services, after.services),
    routes: patchRecord(before.routes, after.routes),
    plans: patchRecord(before.plans, after.plans),
  };
}

/** Applies a patch; parts without a change are shared with `before`. */
export function applyListsPatch(before: Lists, patch: ListsPatch): Lists {
  return {
    teams: applyToRecord(before.teams, patch.teams),
    services: applyToRecord(before.services, patch.services),
    routes: applyToRecord(before.routes, patch.routes),
    plans: applyToRecord(before.plans, patch.plans),
  };
}

/** Whether a patch contains no change. */
export function isEmptyPatch(patch: ListsPatch): boolean {
  return [patch.teams, patch.services, patch.routes, patch.plans].every(
    (part) => Object.keys(part).length === 0,
  );
}
