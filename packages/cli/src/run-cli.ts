/** Runs one command line. */
import { stripVTControlCharacters } from 'node:util';
import { renderUsage, runCommand, type CommandDef } from 'citty';
import { suggest } from '@marigoldbank/lists/suggestions';
import { CommandError, type Failure } from './CommandError.js';
import { EXIT_CODES, OUTCOME_TEXTS, type Outcome } from './exit-codes.js';
import { examplesOf } from './define-command.js';
import { createProgram, PROGRAM_NAME } from './program.js';
import type { CommandResult, Io } from './types.js';

const HELP_FLAGS = new Set(['--help', '-h']);

interface ResolvedCommand {
  readonly command: CommandDef;
  /** Names of the command and its groups, without the program. */
  readonly names: readonly string[];
  /** Arguments after the names. */
  readonly rest: readonly string[];
}

/** Finds the command that the leading arguments name in the command tree. */
function resolveCommand(program: CommandDef, argv: readonly string[]): ResolvedCommand {
  let command = program;
  const names: string[] = [];
  const rest = [...argv];
  for (;;) {
    const children = (command.subCommands ?? {}) as Record<string, CommandDef>;
    const name = rest[0];
    if (name === undefined || !Object.hasOwn(children, name)) return { command, names, rest };
    command = children[name] ?? command;
    names.push(name);
    rest.shift();
  }
}

function exitCodeLines(): string[] {
  return (Object.keys(EXIT_CODES) as Outcome[]).map(
    (outcome) => `  ${String(EXIT_CODES[outcome]).padStart(2)}  ${OUTCOME_TEXTS[outcome]}`,
  );
}

async function helpLines({ command, names }: ResolvedCommand): Promise<string[]> {
  const parent = { meta: { name: [PROGRAM_NAME, ...names.slice(0, -1)].join(' ') } };
  const colored = await renderUsage(command, names.length === 0 ? undefined : parent);
  const usage = stripVTControlCharacters(colored);
  const examples = examplesOf(command).map((example) => `  ${PROGRAM_NAME} ${example}`);
  const exampleLines = examples.length === 0 ? [] : ['', 'EXAMPLES', '', ...examples];
  return [usage, ...exampleLines, '', 'EXIT CODES', '', ...exitCodeLines()];
}

function toFailure(err: unknown): Failure {
  if (err instanceof CommandError) return err.failure;
  if (err instanceof Error && err.name === 'CLIError') {
    return { kind: 'usage', message: stripVTControlCharacters(err.message) };
  }
  const message = err instanceof Error ? err.message : String(err);
  return { kind: 'internal', message: `unexpected error: ${message}` };
}

function reportFailure(failure: Failure, isJson: boolean, io: Io): number {
  const exitCode = EXIT_CODES[failure.kind];
  const { kind, message, details = [] } = failure;
  if (isJson) {
    io.writeStdout(JSON.stringify({ outcome: kind, exitCode, message, details }));
    return exitCode;
  }
  details.forEach((line) => io.writeStderr(line));
  io.writeStderr(`${PROGRAM_NAME}: ${message}`);
  if (kind === 'usage') io.writeStderr(`see ${PROGRAM_NAME} --help`);
  return exitCode;
}

function unknownCommand({ command, names, rest }: ResolvedCommand): Failure {
  const children = Object.keys(command.subCommands ?? {});
  const [given] = rest;
  if (given === undefined) {
    return { kind: 'usage', message: `expected a command: ${children.join(', ')}` };
  }
  const hint = suggest(given, children);
  const name = [...names, given].join(' ');
  const help = hint === undefined ? '' : ` (${hint})`;
  return { kind: 'usage', message: `unknown command "${name}"${help}` };
}

/** Runs a command line and returns the exit code. Never throws. */
export async function runCli(argv: readonly string[], io: Io): Promise<number> {
  const isJson = argv.includes('--json');
  let commandResult: CommandResult | undefined;
  const finish = (result: CommandResult): void => {
    commandResult = result;
  };
  const resolved = resolveCommand(createProgram({ io, onResult: finish }), argv);
  try {
    if (argv.some((arg) => HELP_FLAGS.has(arg))) {
      (await helpLines(resolved)).forEach((line) => io.writeStdout(line));
      return EXIT_CODES.inForce;
    }
    if (resolved.command.subCommands !== undefined) {
      return reportFailure(unknownCommand(resolved), isJson, io);
    }
    await runCommand(resolved.command, { rawArgs: [...resolved.rest] });
  } catch (err) {
    return reportFailure(toFailure(err), isJson, io);
  }
  if (commandResult === undefined) return EXIT_CODES.internal;
  const { outcome, json, lines } = commandResult;
  const exitCode = EXIT_CODES[outcome];
  if (isJson) io.writeStdout(JSON.stringify({ outcome, exitCode, ...json }));
  else lines.forEach((line) => io.writeStdout(line));
  return exitCode;
}
