/** Runs the operators' command line as a process. */
import { execFile, type ExecFileException } from 'node:child_process';
import { createRequire } from 'node:module';
import path from 'node:path';

const require = createRequire(import.meta.url);

const CLI_MAIN = path.join(
  path.dirname(require.resolve('@marigoldbank/cli/program')),
  'bin',
  'marigoldbank.js',
);

const TIMEOUT_MS = 30_000;

export interface CommandResult {
  readonly exitCode: number;
  readonly stdout: string;
  readonly stderr: string;
}

/** -1 if the command could not be started or was killed, for example by the timeout. */
function toExitCode(err: ExecFileException | null): number {
  if (err === null) return 0;
  return typeof err.code === 'number' ? err.code : -1;
}

export class CommandLine {
  public constructor(private readonly settingsFile: string) {}

  /** Runs one command. Never rejects: a command that could not be run has exit code -1. */
  public run(...args: readonly string[]): Promise<CommandResult> {
    const env = { ...process.env, MARIGOLDBANK_SETTINGS: this.settingsFile };
    const options = { timeout: TIMEOUT_MS, env };
    return new Promise((resolve) => {
      execFile(process.execPath, [CLI_MAIN, ...args], options, (err, stdout, stderr) => {
        resolve({ exitCode: toExitCode(err), stdout, stderr });
      });
    });
  }
}
