/** The tree of commands. */
import { defineCommand, type CommandDef } from 'citty';
import { auditExportCommand, auditListCommand, auditVerifyCommand } from './commands/audit.js';
import { backupCommand, restoreCommand } from './commands/backup.js';
import { controlListCommand, controlReplaceCommand } from './commands/control.js';
import {
  drainCommand,
  entryAddCommand,
  entryRemoveCommand,
  undrainCommand,
} from './commands/entries.js';
import { keyIssueCommand, keyWithdrawCommand } from './commands/keys.js';
import { applyCommand, checkCommand, diffCommand, pullCommand } from './commands/lists.js';
import { explainCommand, statusCommand } from './commands/status.js';
import type { Leaf, Session } from './leaf.js';

export const PROGRAM_NAME = 'marigoldbank';

type Tree = Readonly<
  Record<string, Leaf | { description: string; commands: Record<string, Leaf> }>
>;

const TREE: Tree = {
  check: checkCommand,
  diff: diffCommand,
  pull: pullCommand,
  apply: applyCommand,
  key: {
    description: 'Keys of the teams',
    commands: { issue: keyIssueCommand, withdraw: keyWithdrawCommand },
  },
  status: statusCommand,
  explain: explainCommand,
  drain: drainCommand,
  undrain: undrainCommand,
  entry: {
    description: 'Entry VMs of the fleet',
    commands: { add: entryAddCommand, remove: entryRemoveCommand },
  },
  control: {
    description: 'Control VMs of the fleet',
    commands: { list: controlListCommand, replace: controlReplaceCommand },
  },
  audit: {
    description: 'Audit trail of all changes',
    commands: { list: auditListCommand, verify: auditVerifyCommand, export: auditExportCommand },
  },
  backup: backupCommand,
  restore: restoreCommand,
};

const build = (leaves: Record<string, Leaf>, session: Session): Record<string, CommandDef> =>
  Object.fromEntries(Object.entries(leaves).map(([name, leaf]) => [name, leaf(session)]));

/** The commands for one run. */
export function createProgram(session: Session): CommandDef {
  const subCommands = Object.entries(TREE).map(([name, node]): [string, CommandDef] => {
    if (typeof node === 'function') return [name, node(session)];
    const { description, commands } = node;
    const meta = { name, description };
    return [name, defineCommand({ meta, subCommands: build(commands, session) })];
  });
  return defineCommand({
    meta: { name: PROGRAM_NAME, description: 'Command line of marigoldbank operators' },
    subCommands: Object.fromEntries(subCommands),
  });
}

/** Names of all commands, such as `apply` and `key issue`. */
export function commandNames(): string[] {
  return Object.entries(TREE).flatMap(([name, node]) =>
    typeof node === 'function'
      ? [name]
      : Object.keys(node.commands).map((child) => `${name} ${child}`),
  );
}
