/** Defines the commands that can be run, with the arguments that they share. */
import { defineCommand, type ArgsDef, type CommandDef, type ParsedArgs } from 'citty';
import { suggest } from '@marigoldbank/lists/suggestions';
import { CommandError } from './CommandError.js';
import { loadCliSettings, type CliSettings } from './cli-settings.js';
import { OperatorClient } from './OperatorClient.js';
import type { CommandResult, Io } from './types.js';

const MS_PER_SECOND = 1_000;

/** Time to keep looking for a leader that answers. */
const RETRY_MS = 10_000;

/** Default of `--timeout`, above the bound of 5 s for a change at the present fleet size. */
const DEFAULT_TIMEOUT_S = '15';

export const COMMON_ARGS = {
  json: { type: 'boolean', description: 'Print one JSON object instead of text' },
} as const;

export const CLIENT_ARGS = {
  settings: {
    type: 'string',
    description: 'Settings file (default: MARIGOLDBANK_SETTINGS or ./marigoldbank.toml)',
    valueHint: 'file',
  },
  ...COMMON_ARGS,
} as const;

export const CHANGE_ARGS = {
  ...CLIENT_ARGS,
  'change-id': {
    type: 'string',
    description: 'Id of the change; give the id printed earlier to send a change again',
    valueHint: 'id',
  },
  timeout: {
    type: 'string',
    default: DEFAULT_TIMEOUT_S,
    description: 'Seconds to wait until the change is in force everywhere',
    valueHint: 'seconds',
  },
} as const;

export const LIST_ARGS = {
  teams: {
    type: 'string',
    default: './teams.toml',
    description: 'List of the teams',
    valueHint: 'file',
  },
  plans: {
    type: 'string',
    default: './plans.toml',
    description: 'List of the plans',
    valueHint: 'file',
  },
} as const;

/** The settings from `--settings` and a client for the control VMs in them. */
export interface ClientContext {
  readonly settings: CliSettings;
  readonly client: OperatorClient;
}

/** Reads the settings and creates the client, which connects with its first request. */
export function createClientContext(
  args: { readonly settings?: string | undefined },
  io: Io,
): ClientContext {
  const settings = loadCliSettings(args.settings, io);
  return { settings, client: new OperatorClient(settings, io.retryMs ?? RETRY_MS) };
}

export function usageError(message: string): CommandError {
  return new CommandError({ kind: 'usage', message });
}

/** Parses a number of seconds and returns milliseconds. */
export function toTimeoutMs(text: string): number {
  const seconds = Number(text);
  if (text.trim() === '' || !Number.isFinite(seconds) || seconds < 0) {
    throw usageError(`--timeout: expected a number of seconds, found "${text}"`);
  }
  return seconds * MS_PER_SECOND;
}

/** Parses a whole number; undefined if the option was not given. */
export function toWholeNumber(name: string, text: string | undefined): number | undefined {
  if (text === undefined) return undefined;
  if (!/^\d{1,15}$/.test(text)) {
    throw usageError(`--${name}: expected a whole number, found "${text}"`);
  }
  return Number(text);
}

const toCamelCase = (name: string): string =>
  name.replace(/-([a-z])/g, (_, letter: string) => letter.toUpperCase());

/** Reports unknown options, missing values and extra arguments, which the parser accepts. */
function checkArguments(given: Readonly<Record<string, unknown>>, defs: ArgsDef): void {
  const names = Object.keys(defs);
  const known = new Set([...names, ...names.map(toCamelCase), '_']);
  const unknown = Object.keys(given).find((name) => !known.has(name));
  if (unknown !== undefined) {
    const hint = suggest(unknown, names);
    throw usageError(`unknown option --${unknown}${hint === undefined ? '' : ` (${hint})`}`);
  }
  const empty = names.find((name) => defs[name]?.type !== 'boolean' && given[name] === '');
  if (empty !== undefined) throw usageError(`--${empty}: expected a value`);
  const positionals = given._ as readonly string[];
  const expected = names.filter((name) => defs[name]?.type === 'positional').length;
  if (positionals.length > expected) {
    throw usageError(`unexpected argument "${positionals[expected]}"`);
  }
}

export interface CommandDefinition<T extends ArgsDef> {
  readonly name: string;
  readonly description: string;
  /** Command lines after the program name. */
  readonly examples: readonly string[];
  readonly args: T;
  readonly run: (args: ParsedArgs<T>, io: Io) => Promise<CommandResult> | CommandResult;
}

/** Input and output of one run, and the callback for the result of its command. */
export interface RunContext {
  readonly io: Io;
  readonly onResult: (result: CommandResult) => void;
}

/** Creates a command for one run. */
export type CommandFactory = (runContext: RunContext) => CommandDef;

const examplesOfCommands = new WeakMap<object, readonly string[]>();

/** Examples of a command defined by `defineCliCommand`. */
export function examplesOf(command: object): readonly string[] {
  return examplesOfCommands.get(command) ?? [];
}

export function defineCliCommand<const T extends ArgsDef>(
  definition: CommandDefinition<T>,
): CommandFactory {
  const { name, description, examples, args, run } = definition;
  return (runContext) => {
    const command = defineCommand<T>({
      meta: { name, description },
      args,
      run: async (context) => {
        checkArguments(context.args, args);
        const result = await run(context.args, runContext.io);
        runContext.onResult(result);
      },
    });
    examplesOfCommands.set(command, examples);
    return command as CommandDef;
  };
}
