/**
 * The effect of one change on the configuration. The control VMs and the entries run the same function, so that an
 * entry that applies the changes has the same configuration as control.
 */
import type { Change } from './changes.js';
import type { EntryRecord, FleetConfig, IssuedKey } from './config.js';
import { applyListsPatch, isEmptyPatch, makeListsPatch } from './lists-patch.js';
import { findDanglingReferences } from './references.js';

export type Effect =
  | { readonly kind: 'changed'; readonly config: FleetConfig; readonly isListsChange: boolean }
  | { readonly kind: 'unchanged' }
  | { readonly kind: 'staleBase' }
  | { readonly kind: 'rejected'; readonly reasons: readonly string[] };

const UNCHANGED: Effect = { kind: 'unchanged' };

function rejected(...reasons: string[]): Effect {
  return { kind: 'rejected', reasons };
}

type ConfigFields = Omit<FleetConfig, 'revision' | 'listsRevision'>;

function changed(
  before: FleetConfig,
  fields: Partial<ConfigFields>,
  isListsChange: boolean,
): Effect {
  const revision = before.revision + 1;
  return {
    kind: 'changed',
    isListsChange,
    config: {
      ...before,
      ...fields,
      revision,
      listsRevision: isListsChange ? revision : before.listsRevision,
    },
  };
}

/** Key ids in the lists, each with the team that lists it. */
function listedKeys(lists: FleetConfig['lists']): Map<string, string> {
  return new Map(
    Object.entries(lists.teams).flatMap(([team, { keys }]) =>
      keys.map((keyId): [string, string] => [keyId, team]),
    ),
  );
}

/** Describes each listed key id that was not issued for the team that lists it. */
function findForeignKeys(listed: Map<string, string>, issued: Record<string, IssuedKey>): string[] {
  return [...listed]
    .filter(([keyId, team]) => issued[keyId]?.team !== team)
    .map(([keyId, team]) =>
      Object.hasOwn(issued, keyId)
        ? `key ${keyId} was issued for team ${issued[keyId]!.team}, not for ${team}`
        : `key ${keyId} of team ${team} was never issued or has been withdrawn`,
    );
}

/** Drops keys that are not listed. Their withdrawal is permanent: listing the id again must not reactivate the key. */
function keepListedKeys(
  issued: Record<string, IssuedKey>,
  listed: Map<string, string>,
): Record<string, IssuedKey> {
  const entries = Object.entries(issued);
  const kept = entries.filter(([keyId]) => listed.has(keyId));
  return kept.length === entries.length ? issued : Object.fromEntries(kept);
}

function applyPatch(
  before: FleetConfig,
  baseListsRevision: number,
  patch: Extract<Change, { kind: 'patchLists' }>['patch'],
): Effect {
  if (baseListsRevision !== before.listsRevision) return { kind: 'staleBase' };
  if (isEmptyPatch(patch)) return UNCHANGED;
  const lists = applyListsPatch(before.lists, patch);
  const listed = listedKeys(lists);
  const reasons = [...findDanglingReferences(lists), ...findForeignKeys(listed, before.keys)];
  if (reasons.length > 0) return { kind: 'rejected', reasons };
  return changed(before, { lists, keys: keepListedKeys(before.keys, listed) }, true);
}

function issueKey(before: FleetConfig, change: Extract<Change, { kind: 'issueKey' }>): Effect {
  const team = before.lists.teams[change.team];
  if (team === undefined) return rejected(`team ${change.team} is not in the lists`);
  if (Object.hasOwn(before.keys, change.keyId)) {
    return rejected(`key id ${change.keyId} is already in use`);
  }
  const key = { team: change.team, hash: change.hash, issuedAt: change.at };
  const teams = {
    ...before.lists.teams,
    [change.team]: { ...team, keys: [...team.keys, change.keyId] },
  };
  return changed(
    before,
    { lists: { ...before.lists, teams }, keys: { ...before.keys, [change.keyId]: key } },
    true,
  );
}

function withdrawKey(
  before: FleetConfig,
  change: Extract<Change, { kind: 'withdrawKey' }>,
): Effect {
  const issued = before.keys[change.keyId];
  if (issued === undefined) return rejected(`key ${change.keyId} is not issued`);
  const keys = Object.fromEntries(
    Object.entries(before.keys).filter(([keyId]) => keyId !== change.keyId),
  );
  const team = before.lists.teams[issued.team];
  if (team === undefined) return changed(before, { keys }, false);
  const teams = {
    ...before.lists.teams,
    [issued.team]: { ...team, keys: team.keys.filter((keyId) => keyId !== change.keyId) },
  };
  return changed(before, { lists: { ...before.lists, teams }, keys }, true);
}

function upsertEntries(before: FleetConfig, added: readonly EntryRecord[]): Effect {
  const known = new Map(before.view.entries.map((entry) => [entry.vm, entry]));
  const hasNewEntry = added.some((entry) => !known.has(entry.vm));
  const hasChange = added.some((entry) => {
    const old = known.get(entry.vm);
    return (
      old?.callerAddress !== entry.callerAddress ||
      old.internalAddress !== entry.internalAddress ||
      old.dataCentre !== entry.dataCentre
    );
  });
  if (!hasChange) return UNCHANGED;
  added.forEach((entry) => known.set(entry.vm, entry));
  const entries = [...known.values()].sort((a, b) => (a.vm < b.vm ? -1 : 1));
  const hasMoved = added.some(
    (entry) =>
      before.view.entries.find((old) => old.vm === entry.vm)?.dataCentre !== entry.dataCentre,
  );
  const epoch = before.view.epoch + (hasNewEntry || hasMoved ? 1 : 0);
  return changed(before, { view: { epoch, entries } }, false);
}

function removeEntry(before: FleetConfig, vm: string): Effect {
  const entries = before.view.entries.filter((entry) => entry.vm !== vm);
  if (entries.length === before.view.entries.length) {
    return rejected(`entry ${vm} is not in the view`);
  }
  return changed(
    before,
    {
      view: { epoch: before.view.epoch + 1, entries },
      drainingEntries: before.drainingEntries.filter((draining) => draining !== vm),
      removedEntries: [...before.removedEntries.filter((removed) => removed !== vm), vm],
    },
    false,
  );
}

function addEntry(before: FleetConfig, entry: EntryRecord): Effect {
  const effect = upsertEntries(before, [entry]);
  if (effect.kind !== 'changed') return effect;
  const removedEntries = before.removedEntries.filter((vm) => vm !== entry.vm);
  return { ...effect, config: { ...effect.config, removedEntries } };
}

function setDraining(before: FleetConfig, vm: string, isDraining: boolean): Effect {
  const isKnown = before.view.entries.some((entry) => entry.vm === vm);
  if (!isKnown) return rejected(`entry ${vm} is not in the view`);
  if (before.drainingEntries.includes(vm) === isDraining) return UNCHANGED;
  const others = before.drainingEntries.filter((draining) => draining !== vm);
  return changed(before, { drainingEntries: isDraining ? [...others, vm] : others }, false);
}

/** Computes the effect of a change. Deterministic; never throws. */
export function applyChange(before: FleetConfig, change: Change): Effect {
  switch (change.kind) {
    case 'applyLists':
      return applyPatch(
        before,
        change.baseListsRevision,
        makeListsPatch(before.lists, change.lists),
      );
    case 'patchLists':
      return applyPatch(before, change.baseListsRevision, change.patch);
    case 'issueKey':
      return issueKey(before, change);
    case 'withdrawKey':
      return withdrawKey(before, change);
    case 'addEntry':
      return addEntry(before, change.entry);
    case 'joinEntries':
      return upsertEntries(
        before,
        change.entries.filter((entry) => !before.removedEntries.includes(entry.vm)),
      );
    case 'acceptView':
      return UNCHANGED;
    case 'removeEntry':
      return removeEntry(before, change.vm);
    case 'setEntryDraining':
      return setDraining(before, change.vm, change.isDraining);
    default:
      return rejected('unknown kind of change');
  }
}
