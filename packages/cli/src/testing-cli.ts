/** Runs the command line in tests, each in a temporary folder. */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import { formatLists } from '@marigoldbank/lists/format';
import type { Lists } from '@marigoldbank/lists/schema';
import { runCli } from './run-cli.js';
import { TEST_SECRET } from './testing-operator.js';

export interface Run {
  readonly exitCode: number;
  /** The JSON object on the standard output. */
  readonly json: Record<string, unknown>;
  /** Lines on the standard error: progress, warnings and errors. */
  readonly stderrLines: readonly string[];
}

/** A temporary folder with lists and settings, in which the command line runs. */
export class CliTestFolder {
  public readonly folder = mkdtempSync(path.join(os.tmpdir(), 'marigoldbank-cli-'));

  public file(name: string): string {
    return path.join(this.folder, name);
  }

  public writeLists(lists: Lists): void {
    const { teams, plans } = formatLists(lists);
    writeFileSync(this.file('teams.toml'), teams);
    writeFileSync(this.file('plans.toml'), plans);
  }

  public writeSettings(control: readonly string[], secret = TEST_SECRET): void {
    const lines = [
      `control = ${JSON.stringify(control)}`,
      'operator = "maryam"',
      `secret = ${JSON.stringify(secret)}`,
    ];
    writeFileSync(this.file('marigoldbank.toml'), lines.join('\n'));
  }

  /** Runs with `--json` and, if `hasLists`, with the lists of the folder. */
  public async run(argv: readonly string[], hasLists = false): Promise<Run> {
    const files = ['--teams', this.file('teams.toml'), '--plans', this.file('plans.toml')];
    const stdoutLines: string[] = [];
    const stderrLines: string[] = [];
    const args = [...argv, ...(hasLists ? files : []), '--json'];
    const exitCode = await runCli(args, {
      env: { MARIGOLDBANK_SETTINGS: this.file('marigoldbank.toml') },
      writeStdout: (line) => stdoutLines.push(line),
      writeStderr: (line) => stderrLines.push(line),
      retryMs: 400,
    });
    return { exitCode, json: JSON.parse(stdoutLines.join('\n')) as Run['json'], stderrLines };
  }

  public remove(): void {
    rmSync(this.folder, { recursive: true });
  }
}
