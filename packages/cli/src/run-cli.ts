/** Runs one command line. */
import { stripVTControlCharacters } from 'node:util';
import { renderUsage, runCommand, type CommandDef } from 'citty';
import { suggest } from '@marigoldbank/lists/suggestions';
import { CommandError, type Failure } from './CommandError.js';
import { EXIT_CODES, OUTCOME_TEXTS, type Outcome } from './exit-codes.js';
import { examplesOf } from './leaf.js';
import { createProgram, PROGRAM_NAME } from './program.js';
import type { CommandResult, Io } from './types.js';

const HELP_FLAGS = new Set(['--help', '-h']);

interface Resolved {
  readonly command: CommandDef;
  /** Names from the program down to the command. */
  readonly names: readonly string[];
  /** Arguments after the names. */
  readonly rest: readonly string[];
}

/** Follows the leading words of the arguments down the tree. */
function resolve(program: CommandDef, argv: readonly string[]): Resolved {
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

async function helpLines({ command, names }: Resolved): Promise<string[]> {
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

function report(failure: Failure, isJson: boolean, io: Io): number {
  const exitCode = EXIT_CODES[failure.kind];
  const { kind, message, details = [] } = failure;
  if (isJson) {
    io.print(JSON.stringify({ outcome: kind, exitCode, message, details }));
    return exitCode;
  }
  details.forEach((line) => io.note(line));
  io.note(`${PROGRAM_NAME}: ${message}`);
  if (kind === 'usage') io.note(`see ${PROGRAM_NAME} --help`);
  return exitCode;
}

function unknownCommand({ command, names, rest }: Resolved): Failure {
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
  let finished: CommandResult | undefined;
  const finish = (result: CommandResult): void => {
    finished = result;
  };
  const resolved = resolve(createProgram({ io, finish }), argv);
  try {
    if (argv.some((arg) => HELP_FLAGS.has(arg))) {
      (await helpLines(resolved)).forEach((line) => io.print(line));
      return EXIT_CODES.inForce;
    }
    if (resolved.command.subCommands !== undefined) {
      return report(unknownCommand(resolved), isJson, io);
    }
    await runCommand(resolved.command, { rawArgs: [...resolved.rest] });
  } catch (err) {
    return report(toFailure(err), isJson, io);
  }
  if (finished === undefined) return EXIT_CODES.internal;
  const { outcome, json, lines } = finished;
  const exitCode = EXIT_CODES[outcome];
  if (isJson) io.print(JSON.stringify({ outcome, exitCode, ...json }));
  else lines.forEach((line) => io.print(line));
  return exitCode;
}
