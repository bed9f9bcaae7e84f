/** One process of a machine of the fleet. */
import { spawn } from 'node:child_process';
import { open, writeFile } from 'node:fs/promises';
import path from 'node:path';
import { fileURLToPath } from 'node:url';

export const ROOT = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '..');

/** Time from SIGTERM to SIGKILL. */
export const GRACE_MS = 6_000;

/** Time after which the platform starts a process again that has ended. */
const RESTART_MS = 200;

/** The platform starts it again when it has ended. */
export class Daemon {
  constructor(fleet, machine, role) {
    Object.assign(this, {
      fleet,
      machine,
      role,
      child: undefined,
      isWanted: false,
      starts: 0,
      ownEnds: [],
    });
  }

  get name() {
    return `${this.machine.name}/${this.role}`;
  }

  async start() {
    this.isWanted = true;
    this.starts += 1;
    const { fleet, machine, role } = this;
    const file = path.join(fleet.folder, `${machine.name}-${role}.toml`);
    await writeFile(file, fleet.settingsOf(machine, role));
    const [program, ...args] = fleet.commands[role];
    const log = await open(path.join(fleet.folder, `${machine.name}-${role}.log`), 'a');
    if (!this.isWanted) {
      await log.close();
      return;
    }
    const { PATH, HOME, LANG } = process.env;
    const child = spawn(program === 'node' ? process.execPath : program, args, {
      cwd: ROOT,
      stdio: ['ignore', log.fd, log.fd],
      env: { PATH, HOME, LANG: LANG ?? 'C.UTF-8', MARIGOLDBANK_BOOT: file },
    });
    this.child = child;
    this.exited = new Promise((resolve) => {
      child.once('exit', (code, signal) => {
        if (this.child === child && this.isWanted) this.onEnd(code, signal);
        resolve();
      });
    });
    await log.close();
  }

  onEnd(code, signal) {
    this.ownEnds.push({ code, signal });
    this.fleet.record(`${this.name} ended by itself: code ${code}, signal ${signal}`);
    setTimeout(() => {
      if (this.isWanted && !this.fleet.isOver) this.start();
    }, RESTART_MS);
  }

  signal(name) {
    this.child?.kill(name);
  }

  async kill() {
    this.isWanted = false;
    this.signal('SIGKILL');
    await this.exited;
  }

  /** SIGTERM, and SIGKILL after the grace. */
  async terminate() {
    this.isWanted = false;
    this.signal('SIGTERM');
    const timer = setTimeout(() => this.signal('SIGKILL'), GRACE_MS);
    await this.exited;
    clearTimeout(timer);
  }
}
