/** Defines all commands and their groups. */
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
import type { CommandFactory, RunContext } from './define-command.js';

export const PROGRAM_NAME = 'marigoldbank';

type CommandTree = Readonly<
  Record<string, CommandFactory | { description: string; commands: Record<string, CommandFactory> }>
>;

const COMMANDS: CommandTree = {
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

const buildSubCommands = (
  factories: Record<string, CommandFactory>,
  context: RunContext,
): Record<string, CommandDef> =>
  Object.fromEntries(Object.entries(factories).map(([name, factory]) => [name, factory(context)]));

/** Creates the program with its commands for one run. */
export function createProgram(context: RunContext): CommandDef {
  const subCommands = Object.entries(COMMANDS).map(([name, node]): [string, CommandDef] => {
    if (typeof node === 'function') return [name, node(context)];
    const { description, commands } = node;
    const meta = { name, description };
    return [name, defineCommand({ meta, subCommands: buildSubCommands(commands, context) })];
  });
  return defineCommand({
    meta: { name: PROGRAM_NAME, description: 'Command line of marigoldbank operators' },
    subCommands: Object.fromEntries(subCommands),
  });
}

/** Names of all commands, such as `apply` and `key issue`. */
export function commandNames(): string[] {
  return Object.entries(COMMANDS).flatMap(([name, node]) =>
    typeof node === 'function'
      ? [name]
      : Object.keys(node.commands).map((child) => `${name} ${child}`),
  );
}
