/** Commands for the two lists: check, pull, diff, apply. */
import { existsSync, writeFileSync } from 'node:fs';
import { diffLists } from '@marigoldbank/lists/diff';
import { formatLists } from '@marigoldbank/lists/format';
import type { Lists } from '@marigoldbank/lists/schema';
import {
  CHANGE_ARGS,
  CLIENT_ARGS,
  COMMON_ARGS,
  createClientContext,
  defineCliCommand,
  LIST_ARGS,
  toWholeNumber,
  usageError,
} from '../define-command.js';
import { fetchLists, withdrawnKeys, type ListsInForce } from '../lists-content.js';
import { loadLists, readBaseRevision, writeBaseRevision } from '../lists-files.js';
import { submitChange } from '../submit-change.js';

const count = (record: object): number => Object.keys(record).length;

export const checkCommand = defineCliCommand({
  name: 'check',
  description: 'Check the two lists without contacting control',
  examples: ['check', 'check --teams lists/teams.toml --plans lists/plans.toml'],
  args: { ...LIST_ARGS, ...COMMON_ARGS },
  run: (args, io) => {
    const { lists, warnings } = loadLists(args);
    warnings.forEach((warning) => io.writeStderr(warning));
    const { teams, plans, routes, services } = lists;
    const counts = {
      teams: count(teams),
      plans: count(plans),
      routes: count(routes),
      services: count(services),
    };
    const text = Object.entries(counts)
      .map(([name, n]) => `${n} ${name}`)
      .join(', ');
    return { outcome: 'inForce', json: { ...counts, warnings }, lines: [`valid: ${text}`] };
  },
});

/** Lines with the effects of replacing the lists in force; losses start with `-`. */
function effectLines(now: ListsInForce, next: Lists): string[] {
  const differences = diffLists(now.lists, next);
  return [
    ...differences.map(({ isLoss, text }) => `${isLoss ? '-' : ' '} ${text}`),
    ...withdrawnKeys(now, next).map((text) => `- ${text}`),
  ];
}

export const diffCommand = defineCliCommand({
  name: 'diff',
  description: 'Say in words what applying the lists would change; losses start with "-"',
  examples: ['diff', 'diff --json'],
  args: { ...LIST_ARGS, ...CLIENT_ARGS },
  run: async (args, io) => {
    const { lists, warnings } = loadLists(args);
    warnings.forEach((warning) => io.writeStderr(warning));
    const { client } = createClientContext(args, io);
    const now = await fetchLists(client);
    const lines = effectLines(now, lists);
    const base = readBaseRevision(args);
    if (base !== undefined && base !== now.listsRevision) {
      io.writeStderr(
        `the files are based on revision ${base}, control is at ${now.listsRevision}: pull first`,
      );
    }
    return {
      outcome: 'inForce',
      json: {
        listsRevision: now.listsRevision,
        base: base ?? null,
        differences: diffLists(now.lists, lists),
        withdrawnKeys: withdrawnKeys(now, lists),
      },
      lines: lines.length === 0 ? ['no difference'] : lines,
    };
  },
});

export const pullCommand = defineCliCommand({
  name: 'pull',
  description: 'Write the lists in force to the two files, with their revision beside them',
  examples: ['pull', 'pull --teams lists/teams.toml --plans lists/plans.toml --force'],
  args: {
    ...LIST_ARGS,
    ...CLIENT_ARGS,
    force: { type: 'boolean', description: 'Overwrite existing files' },
  },
  run: async (args, io) => {
    const { client } = createClientContext(args, io);
    const { lists, listsRevision } = await fetchLists(client);
    const formatted = formatLists(lists);
    const existing = [args.teams, args.plans].find((file) => existsSync(file));
    if (existing !== undefined && !args.force) {
      throw usageError(`${existing} exists; --force overwrites both lists`);
    }
    try {
      writeFileSync(args.teams, formatted.teams);
      writeFileSync(args.plans, formatted.plans);
    } catch (err) {
      const { code, path: file } = err as NodeJS.ErrnoException;
      throw usageError(`${file} cannot be written (${code})`);
    }
    const baseFile = writeBaseRevision(args, listsRevision);
    return {
      outcome: 'inForce',
      json: { listsRevision, files: [args.teams, args.plans, baseFile] },
      lines: [`lists of revision ${listsRevision} written to ${args.teams} and ${args.plans}`],
    };
  },
});

export const applyCommand = defineCliCommand({
  name: 'apply',
  description: 'Put the two lists in force and wait until every entry uses them',
  examples: [
    'apply',
    'apply --base 41 --timeout 30',
    'apply --change-id 0b2f5c1e-8a44-4a4e-9d7c-5b7e2f1f6a10',
  ],
  args: {
    ...LIST_ARGS,
    ...CHANGE_ARGS,
    base: {
      type: 'string',
      description: 'Lists revision that the files were edited from (default: as pulled)',
      valueHint: 'revision',
    },
  },
  run: async (args, io) => {
    const { lists, warnings } = loadLists(args);
    warnings.forEach((warning) => io.writeStderr(warning));
    const base = toWholeNumber('base', args.base) ?? readBaseRevision(args);
    if (base === undefined) {
      throw usageError(
        'the base revision is unknown: run pull, or give --base (0 for a new fleet)',
      );
    }
    const context = createClientContext(args, io);
    const now = await fetchLists(context.client);
    if (now.listsRevision === base) effectLines(now, lists).forEach((line) => io.writeStderr(line));
    const body = { kind: 'applyLists', baseListsRevision: base, lists } as const;
    return submitChange(context, body, args, io, ({ kind, revision }) => {
      writeBaseRevision(args, kind === 'unchanged' ? base : revision);
    });
  },
});
