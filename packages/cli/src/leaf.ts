/** Builds the commands that do something, with the arguments that all of them share. */
import { defineCommand, type ArgsDef, type CommandDef, type ParsedArgs } from 'citty';
import { suggest } from '@marigoldbank/lists/suggestions';
import { CommandError } from './CommandError.js';
import { loadCliSettings, type CliSettings } from './cli-settings.js';
import { OperatorClient } from './OperatorClient.js';
import type { CommandResult, Io } from './types.js';

const MS_PER_SECOND = 1_000;

/** Time to look for a leader that answers. */
const RETRY_MS = 10_000;

/** Longest time a command waits by default: the bound at today's size is 5 s. */
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

/** What a command gets from `--settings`. */
export interface Connection {
  readonly settings: CliSettings;
  readonly client: OperatorClient;
}

/** Reads the settings and prepares the client; does not connect yet. */
export function connect(args: { readonly settings?: string | undefined }, io: Io): Connection {
  const settings = loadCliSettings(args.settings, io);
  return { settings, client: new OperatorClient(settings, io.retryMs ?? RETRY_MS) };
}

export function usageError(message: string): CommandError {
  return new CommandError({ kind: 'usage', message });
}

/** Seconds given as text, in milliseconds. */
export function toTimeoutMs(text: string): number {
  const seconds = Number(text);
  if (text.trim() === '' || !Number.isFinite(seconds) || seconds < 0) {
    throw usageError(`--timeout: expected a number of seconds, found "${text}"`);
  }
  return seconds * MS_PER_SECOND;
}

/** Whole number given as text, or undefined if it was not given. */
export function toWholeNumber(name: string, text: string | undefined): number | undefined {
  if (text === undefined) return undefined;
  if (!/^\d{1,15}$/.test(text)) {
    throw usageError(`--${name}: expected a whole number, found "${text}"`);
  }
  return Number(text);
}

const toCamelCase = (name: string): string =>
  name.replace(/-([a-z])/g, (_, letter: string) => letter.toUpperCase());

/** The parser accepts anything; unknown options and missing values are reported here. */
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

export interface LeafDefinition<T extends ArgsDef> {
  readonly name: string;
  readonly description: string;
  /** Command lines after the program name. */
  readonly examples: readonly string[];
  readonly args: T;
  readonly run: (args: ParsedArgs<T>, io: Io) => Promise<CommandResult> | CommandResult;
}

/** Takes the results of the command that runs. */
export interface Session {
  readonly io: Io;
  readonly finish: (result: CommandResult) => void;
}

/** A command for one session. */
export type Leaf = (session: Session) => CommandDef;

const examplesOfCommands = new WeakMap<object, readonly string[]>();

/** Examples of a command built by `defineLeaf`. */
export function examplesOf(command: object): readonly string[] {
  return examplesOfCommands.get(command) ?? [];
}

export function defineLeaf<const T extends ArgsDef>(definition: LeafDefinition<T>): Leaf {
  const { name, description, examples, args, run } = definition;
  return (session) => {
    const command = defineCommand<T>({
      meta: { name, description },
      args,
      run: async (context) => {
        checkArguments(context.args, args);
        const result = await run(context.args, session.io);
        session.finish(result);
      },
    });
    examplesOfCommands.set(command, examples);
    return command as CommandDef;
  };
}
