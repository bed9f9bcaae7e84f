/** Runs a daemon as a child process and injects the faults that tests need. */
import { spawn, type ChildProcess } from 'node:child_process';
import { closeSync, openSync, rmSync } from 'node:fs';
import { createRequire } from 'node:module';
import path from 'node:path';

const require = createRequire(import.meta.url);

/** The daemon's compiled entry point. */
const DAEMON_MAIN = path.join(
  path.dirname(require.resolve('@marigoldbank/daemon/settings')),
  'bin',
  'marigoldbankd.js',
);

export interface DaemonProcessOptions {
  readonly vm: string;
  readonly settingsFile: string;
  readonly dataFolder: string | undefined;
  readonly logFile: string;
}

export class DaemonProcess {
  private child: ChildProcess | undefined;

  private exited: Promise<number | null> = Promise.resolve(null);

  public constructor(public readonly options: DaemonProcessOptions) {}

  public get isRunning(): boolean {
    return this.child !== undefined && this.child.exitCode === null && !this.child.killed;
  }

  public get pid(): number | undefined {
    return this.child?.pid;
  }

  public start(): void {
    const log = openSync(this.options.logFile, 'a');
    const child = spawn(process.execPath, [DAEMON_MAIN, '--settings', this.options.settingsFile], {
      stdio: ['ignore', log, log],
    });
    closeSync(log);
    this.child = child;
    this.exited = new Promise((resolve) => {
      child.once('exit', (code) => resolve(code));
    });
  }

  /** Kills the process without a shutdown, as a power failure does. */
  public async kill(): Promise<void> {
    this.child?.kill('SIGKILL');
    await this.exited;
  }

  /** Asks for a graceful shutdown and waits for it. Resolves with the exit code. */
  public async terminate(): Promise<number | null> {
    this.child?.kill('SIGTERM');
    return this.exited;
  }

  public freeze(): void {
    this.child?.kill('SIGSTOP');
  }

  public thaw(): void {
    this.child?.kill('SIGCONT');
  }

  /** Deletes the data folder, as a lost disk does. Only while the process is down. */
  public wipe(): void {
    if (this.options.dataFolder !== undefined) {
      rmSync(this.options.dataFolder, { recursive: true, force: true });
    }
  }
}
