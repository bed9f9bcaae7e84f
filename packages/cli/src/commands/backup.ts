/** Commands that back up and restore the configuration. */
import { closeSync, fsyncSync, openSync, writeSync } from 'node:fs';
import { fleetConfigSchema, type FleetConfig } from '@marigoldbank/fleet/config';
import { z } from 'zod';
import { readTextFile } from '../cli-settings.js';
import { CommandError } from '../CommandError.js';
import {
  CHANGE_ARGS,
  CLIENT_ARGS,
  createClientContext,
  defineCliCommand,
  usageError,
} from '../define-command.js';
import { fetchLists } from '../lists-content.js';
import { submitChange } from '../submit-change.js';

/** Only the owner may read a backup, since it contains the hashes of the keys. */
const OWNER_ONLY_MODE = 0o600;

const backupSchema = z.object({ config: fleetConfigSchema });

function writeDurably(file: string, content: Uint8Array): void {
  try {
    const descriptor = openSync(file, 'wx', OWNER_ONLY_MODE);
    try {
      writeSync(descriptor, content);
      fsyncSync(descriptor);
    } finally {
      closeSync(descriptor);
    }
  } catch (err) {
    throw usageError(`${file} cannot be written (${(err as NodeJS.ErrnoException).code})`);
  }
}

export const backupCommand = defineCliCommand({
  name: 'backup',
  description: 'Write lists, key hashes, entries, results and audit trail to a file',
  examples: ['backup fleet-2026-12-04.json'],
  args: {
    file: { type: 'positional', required: true, description: 'File to write; must not exist' },
    ...CLIENT_ARGS,
  },
  run: async (args, io) => {
    const { client } = createClientContext(args, io);
    const { value } = await client.callLeader((stub) => stub.backup({}));
    const revision = Number(value.revision);
    writeDurably(args.file, value.content);
    return {
      outcome: 'inForce',
      json: { revision, file: args.file, bytes: value.content.length },
      lines: [`revision ${revision} written to ${args.file}`],
    };
  },
});

function readBackup(file: string): FleetConfig {
  const text = readTextFile(file, 'backup');
  try {
    return backupSchema.parse(JSON.parse(text)).config;
  } catch {
    throw new CommandError({ kind: 'invalid', message: `${file} is not a backup` });
  }
}

/** The lists without keys, so that each key can be issued again before it is listed. */
function withoutKeys(lists: FleetConfig['lists']): FleetConfig['lists'] {
  const teams = Object.entries(lists.teams).map(([id, team]) => [id, { ...team, keys: [] }]);
  return { ...lists, teams: Object.fromEntries(teams) as FleetConfig['lists']['teams'] };
}

export const restoreCommand = defineCliCommand({
  name: 'restore',
  description:
    'Put lists and keys of a backup into a fleet without lists; the old keys work again, entries join by themselves',
  examples: ['restore fleet-2026-12-04.json'],
  args: {
    file: { type: 'positional', required: true, description: 'File written by backup' },
    ...CLIENT_ARGS,
    timeout: CHANGE_ARGS.timeout,
  },
  run: async (args, io) => {
    const { lists, keys } = readBackup(args.file);
    const context = createClientContext(args, io);
    const now = await fetchLists(context.client);
    const keysToIssue = Object.entries(lists.teams).flatMap(([team, { keys: ids }]) =>
      ids
        .filter((keyId) => Object.hasOwn(keys, keyId) && !now.keyIds.includes(keyId))
        .map((keyId) => ({ team, keyId, hash: keys[keyId]?.hash ?? '' })),
    );
    const isEmpty = Object.keys(now.lists.teams).length === 0;
    const isPartlyRestored = Object.keys(now.lists.teams).every((id) =>
      Object.hasOwn(lists.teams, id),
    );
    if (!isEmpty && !isPartlyRestored) {
      const message = 'the fleet has teams that the backup lacks; use apply to change its lists';
      throw new CommandError({ kind: 'rejected', message });
    }
    if (isEmpty) {
      const body = {
        kind: 'applyLists',
        baseListsRevision: now.listsRevision,
        lists: withoutKeys(lists),
      } as const;
      await submitChange(context, body, args, io);
    }
    const pendingKeys = [...keysToIssue];
    for (let key = pendingKeys.shift(); key !== undefined; key = pendingKeys.shift()) {
      await submitChange(context, { kind: 'issueKey', ...key }, { timeout: '0' }, io);
    }
    const last = await fetchLists(context.client);
    const body = { kind: 'applyLists', baseListsRevision: last.listsRevision, lists } as const;
    const result = await submitChange(context, body, args, io);
    const json = { ...result.json, keys: keysToIssue.length };
    return { ...result, json, lines: [`${keysToIssue.length} keys restored`, ...result.lines] };
  },
});
