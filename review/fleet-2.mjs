/**
 * A small fleet of the project's own programs on loopback addresses, with stand-ins for the platform, the operator, targets
 * and callers, for the scripts of this review. The processes are started with the commands of the deploy file.
 */
import { mkdir, mkdtemp, readFile, rm } from 'node:fs/promises';
import net from 'node:net';
import os from 'node:os';
import path from 'node:path';
import { send, sleep } from './client-2.mjs';
import { Daemon, GRACE_MS, ROOT } from './daemon-2.mjs';

/** Offsets of the ports from the first one. The first four are for traffic inside the fleet. */
const PORTS = { internal: 0, control: 4, front: 5, ready: 6, directory: 7, target: 8 };
const PORT_COUNT = 9;

function isFree(host, port) {
  return new Promise((resolve) => {
    const server = net.createServer();
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

async function freeBase(hosts) {
  for (let i = 0; i < 200; i += 1) {
    const base = 20_000 + PORT_COUNT * Math.floor(Math.random() * 1_300);
    const checks = hosts.flatMap((host) =>
      Array.from({ length: PORT_COUNT }, (_, j) => isFree(host, base + j)),
    );
    if ((await Promise.all(checks)).every(Boolean)) return base;
  }
  throw new Error('no free ports');
}

/** The words of the `run` line of each role in the deploy file. */
async function readCommands() {
  const text = await readFile(path.join(ROOT, 'deploy/system.toml'), 'utf8');
  const found = [...text.matchAll(/\[roles\.(\w+)\]\s*\nrun = "([^"]+)"/g)];
  return Object.fromEntries(found.map(([, role, run]) => [role, run.split(' ')]));
}

export class Fleet {
  constructor(record, folder, commands, { controls = 1, entries = 1 } = {}) {
    this.record = record;
    this.folder = folder;
    this.commands = commands;
    this.isFirst = true;
    this.isOver = false;
    this.targets = [];
    const subnet = 1 + Math.floor(Math.random() * 250);
    const make = (kind, count, first, roles) =>
      Array.from({ length: count }, (_, i) => {
        const machine = {
          name: `${kind}-${i + 1}`,
          ip: `127.9.${subnet}.${first + i}`,
          zone: `z${1 + (i % 3)}`,
          kind,
        };
        machine.daemons = roles.map((role) => new Daemon(this, machine, role));
        return machine;
      });
    this.controls = make('core', controls, 10, ['control', 'hub']);
    this.entries = make('edge', entries, 60, ['entry']);
    this.targetHost = `127.9.${subnet}.200`;
    process.once('exit', () => this.endAll());
    ['SIGINT', 'SIGTERM'].forEach((name) =>
      process.once(name, () => {
        this.endAll();
        process.kill(process.pid, 'SIGKILL');
      }),
    );
  }

  static async create(record, options) {
    const folder = await mkdtemp(path.join(os.tmpdir(), 'marigoldbank-review-'));
    const fleet = new Fleet(record, folder, await readCommands(), options);
    await Promise.all(
      fleet.controls.map(({ name }) => mkdir(path.join(folder, 'data', name), { recursive: true })),
    );
    return fleet;
  }

  get machines() {
    return [...this.controls, ...this.entries];
  }

  get daemons() {
    return this.machines.flatMap(({ daemons }) => daemons);
  }

  async start() {
    this.base = await freeBase([...this.machines.map(({ ip }) => ip), this.targetHost]);
    const starts = this.daemons.map((daemon) => daemon.start());
    this.isFirst = false;
    await Promise.all(starts);
  }

  address({ ip }, port) {
    return `${ip}:${this.base + PORTS[port]}`;
  }

  /** What the platform makes of `deploy/settings.toml`. */
  settingsOf(machine, role) {
    const seeds = this.controls.slice(0, 3).map((control) => this.address(control, 'control'));
    const listen = {
      control: [`control = "${this.address(machine, 'control')}"`],
      hub: [`directory = "${this.address(machine, 'directory')}"`],
      entry: [
        `caller = "${this.address(machine, 'front')}"`,
        `ready = "${this.address(machine, 'ready')}"`,
        `directory = "${this.address(machine, 'directory')}"`,
      ],
    }[role];
    return [
      `vm = "${machine.name}"`,
      `ip = "${machine.ip}"`,
      `dataCentre = "${machine.zone}"`,
      `role = "${role}"`,
      `bootstrap = ${this.isFirst}`,
      ...(machine.kind === 'core'
        ? [`dataFolder = "${path.join(this.folder, 'data', machine.name)}"`]
        : []),
      `toleratedLosses = ${Math.floor((this.controls.length - 1) / 2)}`,
      `internalPorts = [${this.base},${this.base + 3}]`,
      `seeds = ${JSON.stringify(seeds)}`,
      '[listen]',
      ...listen,
      '[bounds]',
      `grace = "${GRACE_MS}ms"`,
      'maxTtl = "5s"',
      'retryRatio = 0.2',
      'retrySlack = 60',
      'retryWindow = "10s"',
      '',
    ].join('\n');
  }

  /** One call of the operator or a target to one control machine. Resolves to status 0 without an answer in time. */
  async rpc(machine, call, body, timeoutMs = 1_000) {
    const res = await send(this.address(machine, 'control'), 'POST', `/api/rpc?call=${call}`, {
      headers: { 'content-type': 'application/json' },
      body,
      timeoutMs,
    });
    return res;
  }

  /** Sends an order to the control machines in turn until one gives a clear answer. */
  async order(call, body, forMs = 15_000) {
    const until = performance.now() + forMs;
    let i = 0;
    while (performance.now() < until) {
      const machine = this.controls[i % this.controls.length];
      const res = await this.rpc(machine, call, body);
      this.record(`operator: ${call} at ${machine.name} -> ${res.status}`);
      if (res.status === 200 || [400, 409, 412, 413, 422].includes(res.status)) return res;
      i += 1;
      await sleep(100 + 50 * Math.min(i, 10));
    }
    return { status: 0, body: '' };
  }

  async waitReady(forMs = 20_000) {
    const until = performance.now() + forMs;
    const isReady = async (entry) => {
      const res = await send(this.address(entry, 'ready'), 'GET', '/api/ready', {
        timeoutMs: 1_000,
      });
      return res.status === 200;
    };
    const waitFor = async (entry) => {
      while (!(await isReady(entry))) {
        if (performance.now() > until) throw new Error(`${entry.name} is not ready`);
        await sleep(100);
      }
    };
    await Promise.all(this.entries.map(waitFor));
  }

  endAll() {
    this.isOver = true;
    this.daemons.forEach((daemon) => daemon.signal('SIGKILL'));
  }

  async stop() {
    this.isOver = true;
    this.targets.forEach((target) => target.stop());
    await Promise.all(this.daemons.map((daemon) => daemon.kill()));
    await rm(this.folder, { recursive: true, force: true });
  }
}
