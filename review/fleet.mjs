/**
 * A small deployment for the scripts of this folder: the project's own programs as processes on loopback addresses, started
 * with the commands of deploy/system.toml and settings from deploy/settings.toml, with stand-ins for the platform, the
 * operator, the targets and the clients. Stand-ins do what PROTOCOL.md and DEPLOY.md say, and nothing else.
 */
/* eslint n/no-sync: "off", n/no-process-exit: "off", max-classes-per-file: "off" -- one module of stand-ins, which may wait for files */
/* eslint-disable no-param-reassign, no-shadow, no-promise-executor-return, no-use-before-define, no-restricted-syntax -- one module of stand-ins for scripts */
import { spawn } from 'node:child_process';
import fs from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import os from 'node:os';
import path from 'node:path';
import { fileURLToPath } from 'node:url';

export const ROOT = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '..');
export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** A script may run for 120 s. */
const MAX_RUN_MS = 116_000;

export const BOUNDS = {
  grace: '6s',
  ttl_max: '5s',
  retry_ratio: 0.2,
  retry_slack: 60,
  retry_window: '10s',
  strict_revoke: false,
  revoke: '5000ms',
};

/** Writes what was sent, answered and run into record.txt, with the time since the start in ms. */
export class Record {
  constructor(folder) {
    this.file = path.join(folder, 'record.txt');
    this.startedAt = performance.now();
    fs.writeFileSync(this.file, '');
  }

  line(text) {
    const at = (performance.now() - this.startedAt).toFixed(0).padStart(7);
    fs.appendFileSync(this.file, `${at} ${text}\n`);
  }
}

function lookUp(fields, name) {
  return name.split('.').reduce((value, key) => value?.[key], fields);
}

/** Fills in a template as DEPLOY.md tells, as far as deploy/settings.toml needs it. */
export function fillIn(template, fields) {
  const isSet = (value) => value !== undefined && value !== false && value !== '';
  let text = template;
  const section = /\{\{([#^])([\w.]+)\}\}((?:(?!\{\{[#^])[\s\S])*?)\{\{\/\2\}\}/;
  for (let m = section.exec(text); m !== null; m = section.exec(text)) {
    const isShown = isSet(lookUp(fields, m[2])) === (m[1] === '#');
    text = text.slice(0, m.index) + (isShown ? m[3] : '') + text.slice(m.index + m[0].length);
  }
  return text.replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_, name, json) => {
    const value = lookUp(fields, name);
    if (json !== undefined) return JSON.stringify(value ?? null);
    return value === undefined ? '' : String(value);
  });
}

/** The command of a role in the deploy file, split at spaces. */
function commandOf(role) {
  const text = fs.readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8');
  const part = text.split(`[roles.${role}]`)[1].split('\n[')[0];
  return /^run = "([^"]*)"/m.exec(part)[1].split(' ');
}

function isFree(host, port) {
  return new Promise((resolve) => {
    const server = net.createServer();
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

/** The first of `count` ports that are free at all hosts, below the range of outgoing connections. */
async function freePorts(hosts, count) {
  for (;;) {
    const first = 12_000 + Math.floor(Math.random() * 18_000);
    const places = hosts.flatMap((host) =>
      Array.from({ length: count }, (_, i) => [host, first + i]),
    );
    const free = await Promise.all(places.map(([host, port]) => isFree(host, port)));
    if (free.every(Boolean)) return first;
  }
}

/** One process of the system, which the platform starts again after it has ended, unless it was told not to. */
export class Daemon {
  constructor(fleet, name, role, fields) {
    Object.assign(this, { fleet, name, role, fields, ends: [], starts: 0, isWanted: true });
    this.settingsFile = path.join(fleet.folder, `${name}.toml`);
    this.logFile = path.join(fleet.folder, `${name}.log`);
  }

  writeSettings() {
    const template = fs.readFileSync(path.join(ROOT, 'deploy/settings.toml'), 'utf8');
    fs.writeFileSync(this.settingsFile, fillIn(template, this.fields));
  }

  start() {
    this.writeSettings();
    this.starts += 1;
    const [program, ...args] = commandOf(this.role);
    const log = fs.openSync(this.logFile, 'a');
    const { PATH, HOME, LANG } = process.env;
    const child = spawn(program, args, {
      cwd: ROOT,
      stdio: ['ignore', log, log],
      env: { PATH, HOME, LANG, MARIGOLDBANK_BOOT: this.settingsFile },
    });
    fs.closeSync(log);
    this.child = child;
    this.startedAt = performance.now();
    this.exited = new Promise((resolve) => {
      child.once('exit', (code, signal) => {
        this.ends.push({ code, signal, start: this.starts });
        this.fleet.record.line(
          `${this.name} (start ${this.starts}) ended: code ${code}, signal ${signal}`,
        );
        // `bootstrap` is true only at the first start of the whole system.
        this.fields = { ...this.fields, bootstrap: false };
        if (this.isWanted && !this.fleet.isStopping) {
          setTimeout(() => {
            if (this.isWanted && !this.fleet.isStopping && this.child === child) this.start();
          }, 300);
        }
        resolve();
      });
    });
  }

  signal(name) {
    this.fleet.record.line(`${name} to ${this.name}`);
    this.child.kill(name);
  }
}

export class Fleet {
  /** `controls` machines with a log and a hub process each, `entries` machines with an entry process. */
  static async start(record, { controls = 3, entries = 2, tolerated = 1, spares = 0 } = {}) {
    const fleet = new Fleet();
    fleet.record = record;
    fleet.isStopping = false;
    fleet.folder = fs.mkdtempSync(path.join(os.tmpdir(), 'review-'));
    const ips = Array.from({ length: controls + entries + spares }, (_, i) => `127.0.0.${21 + i}`);
    const first = await freePorts(ips, 12);
    fleet.port = { front: first + 8, ready: first + 9, control: first + 10, directory: first + 11 };
    const seeds = ips.slice(0, Math.min(3, controls)).map((ip) => `${ip}:${fleet.port.control}`);
    const zones = ['z1', 'z2', 'z3'];
    fleet.daemons = new Map();
    ips.forEach((ip, i) => {
      const isSpare = i >= controls + entries;
      const isCore = i < controls || isSpare;
      const number = isSpare ? i - entries + 1 : i + 1;
      const node = isCore ? `core-${number}` : `edge-${i - controls + 1}`;
      const dataDir = path.join(fleet.folder, 'data', node);
      if (isCore) fs.mkdirSync(dataDir, { recursive: true });
      (isCore ? ['control', 'hub'] : ['entry']).forEach((role) => {
        const listen = {
          control: { control: `${ip}:${fleet.port.control}` },
          hub: { directory: `${ip}:${fleet.port.directory}` },
          entry: {
            front: `${ip}:${fleet.port.front}`,
            ready: `${ip}:${fleet.port.ready}`,
            directory: `${ip}:${fleet.port.directory}`,
          },
        }[role];
        const name = isCore ? `${node}-${role}` : node;
        fleet.daemons.set(
          name,
          new Daemon(fleet, name, role, {
            node,
            ip,
            zone: zones[i % 3],
            role,
            bootstrap: !isSpare,
            data_dir: isCore && role === 'control' ? dataDir : undefined,
            fault_tolerance: { machines: tolerated },
            port_range: [first, first + 7],
            seeds,
            contracts: [],
            bounds: BOUNDS,
            listen,
          }),
        );
      });
    });
    fleet.controls = ips.slice(0, controls).map((ip) => `${ip}:${fleet.port.control}`);
    const edges = ips.slice(controls, controls + entries);
    fleet.fronts = edges.map((ip) => `${ip}:${fleet.port.front}`);
    fleet.readys = edges.map((ip) => `${ip}:${fleet.port.ready}`);
    fleet.spareControls = ips.slice(controls + entries).map((ip) => `${ip}:${fleet.port.control}`);
    fleet.directories = ips.map((ip) => `${ip}:${fleet.port.directory}`);
    fleet.daemons.forEach((daemon) => {
      daemon.isWanted = daemon.fields.bootstrap;
      if (daemon.isWanted) daemon.start();
    });
    process.once('exit', () => fleet.daemons.forEach(({ child }) => child?.kill('SIGKILL')));
    const giveUp = () => {
      record.line('the case was ended before its time');
      process.exit(2);
    };
    process.once('SIGTERM', giveUp);
    process.once('SIGINT', giveUp);
    setTimeout(giveUp, MAX_RUN_MS).unref();
    return fleet;
  }

  daemon(name) {
    return this.daemons.get(name);
  }

  /** The processes of a machine. */
  machine(node) {
    return [...this.daemons.values()].filter(({ fields }) => fields.node === node);
  }

  /** Starts the processes of a machine that is off. */
  startMachine(node) {
    this.record.line(`start of ${node}`);
    this.machine(node).forEach((daemon) => {
      daemon.isWanted = true;
      daemon.start();
    });
  }

  /** Ends the processes of a machine, which stays off. After SIGTERM they have the grace period. */
  async endMachine(node, signal) {
    await Promise.all(
      this.machine(node).map(async (daemon) => {
        daemon.isWanted = false;
        daemon.signal(signal);
        const timer = setTimeout(() => daemon.child.kill('SIGKILL'), 6_000);
        await daemon.exited;
        clearTimeout(timer);
      }),
    );
  }

  /** The disk of a machine that is off is lost. */
  loseDisk(node) {
    this.record.line(`${node} loses its disk`);
    const folder = path.join(this.folder, 'data', node);
    fs.rmSync(folder, { recursive: true, force: true });
    fs.mkdirSync(folder, { recursive: true });
  }

  async stop() {
    this.isStopping = true;
    await Promise.all(
      [...this.daemons.values()]
        .filter(({ child }) => child !== undefined)
        .map((daemon) => {
          daemon.child.kill('SIGKILL');
          return daemon.child.exitCode === null && daemon.child.signalCode === null
            ? daemon.exited
            : undefined;
        }),
    );
    if (process.env.KEEP === undefined) fs.rmSync(this.folder, { recursive: true, force: true });
    else this.record.line(`kept: ${this.folder}`);
  }
}

/** One HTTP call on a connection of its own. Rejects without a complete answer in time. */
export function call(
  address,
  target,
  { method = 'GET', headers = {}, body, timeoutMs = 1_000 } = {},
) {
  return new Promise((resolve, reject) => {
    const req = http.request(
      `http://${address}${target}`,
      { method, headers, agent: false },
      (res) => {
        const chunks = [];
        res.on('data', (chunk) => chunks.push(chunk));
        res.on('error', reject);
        res.on('end', () =>
          resolve({ status: res.statusCode, headers: res.headers, body: Buffer.concat(chunks) }),
        );
      },
    );
    const timer = setTimeout(
      () => req.destroy(new Error(`no answer in ${timeoutMs} ms`)),
      timeoutMs,
    );
    req.on('error', reject);
    req.on('close', () => clearTimeout(timer));
    req.end(body);
  });
}

/** A call to `control`: any node, two redirects, then the next node. Returns the last answer, or undefined. */
export async function callControl(
  fleet,
  target,
  options,
  tries = 3,
  first = Math.floor(Math.random() * 3),
) {
  let last;
  for (let i = 0; i < tries; i += 1) {
    let address = fleet.controls[(first + i) % fleet.controls.length];
    let place = target;
    try {
      last = await call(address, place, options);
      for (let hop = 0; hop < 2 && last.status === 307; hop += 1) {
        const url = new URL(last.headers.location);
        address = url.host;
        place = url.pathname + url.search;
        last = await call(address, place, options);
      }
      const isTransient = [307, 408, 429].includes(last.status);
      if (last.status < 500 && !isTransient) return last;
    } catch (err) {
      last = { status: 0, error: String(err) };
    }
    await sleep(100 * (i + 1));
  }
  return last;
}

/** Sends a configuration until it is acknowledged. */
export async function putConfig(fleet, configuration, record, untilMs = 20_000) {
  const until = performance.now() + untilMs;
  const body = JSON.stringify(configuration);
  while (performance.now() < until) {
    const res = await callControl(fleet, '/api/rpc?call=config.put', {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body,
    });
    if (res?.status === 200) {
      record.line(`operator: ${configuration.version} acknowledged`);
      return true;
    }
    await sleep(200);
  }
  record.line(`operator: ${configuration.version} not acknowledged`);
  return false;
}

export const LIMITS = {
  max_header_bytes: 16_384,
  max_body_bytes: 67_108_864,
  header_timeout: '3000ms',
  idle_timeout: '15000ms',
};

export const HOST = 'shop.example';
export const KEY = '2b9wu3fexd9dnn2ctnfz';

/** A configuration like the example of PROTOCOL.md. `paths` are routes: prefix, kind, service. */
export function configuration(version, paths, extra = {}) {
  const services = [...new Set(paths.map(({ service }) => service))];
  return {
    version: `r${version}`,
    services: services.map((name) => ({
      name,
      health_path: '/health',
      max_conns: 390,
      protocol: 'h1',
      tls: false,
    })),
    limits: LIMITS,
    tenants: [{ name: 'pharmacy', api_keys: [KEY], priority: 1, rate_per_s: 0, burst: 0 }],
    vhosts: [
      {
        host: HOST,
        paths: paths.map(({ prefix, kind, service, timeout = '3000ms' }) => ({
          name: `r${prefix.replaceAll('/', '-')}`,
          path_prefix: prefix,
          kind,
          timeout,
          slo: '1200ms',
          priority: 1,
          service,
          max_attempts: 2,
          anonymous: false,
        })),
      },
    ],
    ...extra,
  };
}

/**
 * A sound target. It announces itself to control, answers its health path, and runs requests. `answer(req, body)` may change
 * what it sends: { status, headers (raw pairs), body, delayMs }.
 */
export class Target {
  static async start(fleet, record, id, service, ip, answer = () => ({})) {
    const target = Object.assign(new Target(), {
      fleet,
      record,
      id,
      service,
      answer,
      ran: [],
      seq: 0,
    });
    target.born = Date.now();
    target.server = http.createServer((req, res) => target.handle(req, res));
    target.server.keepAliveTimeout = 10_000;
    await new Promise((resolve) => target.server.listen(0, ip, resolve));
    target.addr = `${ip}:${target.server.address().port}`;
    target.state = 'ready';
    target.beat();
    target.timer = setInterval(() => target.beat(), 1_500);
    return target;
  }

  heartbeat() {
    this.seq += 1;
    return {
      addr: this.addr,
      born: this.born,
      info: { service: this.service, version: 'v1', zone: 'z1', slots: 6 },
      status: { state: this.state, seq: this.seq, cold_left: '0ms' },
    };
  }

  beat() {
    return callControl(this.fleet, `/api/rpc?call=instances.heartbeat&of=${this.id}`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(this.heartbeat()),
    }).catch(() => undefined);
  }

  handle(req, res) {
    const chunks = [];
    req.on('data', (chunk) => chunks.push(chunk));
    req.on('end', () => {
      if (req.url === '/health') {
        res.writeHead(this.state === 'ready' ? 200 : 503, { 'marigoldbank-instance-id': this.id });
        res.end();
        return;
      }
      const requestId = req.headers['marigoldbank-request-id'];
      const expected = req.headers['marigoldbank-expect-instance'];
      if (expected !== undefined && expected !== this.id) {
        res.writeHead(421, {
          'marigoldbank-request-id': requestId,
          'marigoldbank-not-executed': '1',
        });
        res.end();
        return;
      }
      this.ran.push(requestId);
      this.record.line(`${this.id} runs ${requestId} ${req.method} ${req.url}`);
      const {
        status = 200,
        headers = [],
        body = `done ${requestId}`,
        delayMs = 20,
      } = this.answer(req, Buffer.concat(chunks));
      setTimeout(() => {
        const bytes = Buffer.from(body);
        // Node.js writes header values as Latin-1; each byte of the UTF-8 form is one such character.
        const raw = headers.flatMap(([name, value]) => [
          name,
          Buffer.from(value, 'utf8').toString('latin1'),
        ]);
        res.writeHead(status, [
          ...['Marigoldbank-Request-Id', requestId],
          ...['Marigoldbank-Response-Seal', '3e1b.07.5a2.600.0.c9f2a4d1'],
          ...['Content-Length', String(bytes.length)],
          ...raw,
        ]);
        res.end(bytes);
      }, delayMs);
    });
  }

  stop() {
    clearInterval(this.timer);
    this.server.close();
    this.server.closeAllConnections();
  }
}

/** A client that keeps one connection for many requests, one at a time, as it was read from the socket. */
export class KeptConnection {
  constructor(address) {
    this.address = address;
    this.socket = undefined;
    this.connections = 0;
  }

  open() {
    const [host, port] = this.address.split(':');
    return new Promise((resolve, reject) => {
      const socket = net.connect(Number(port), host);
      socket.setNoDelay(true);
      socket.once('connect', () => resolve(socket));
      socket.once('error', reject);
    });
  }

  /** Sends one request. Resolves to { status, headers, body }, or to { closed } if the connection ends without an answer. */
  async request({ method, target, headers, body = '', timeoutMs = 5_000 }) {
    if (this.socket === undefined || this.socket.destroyed) {
      this.socket = await this.open();
      this.connections += 1;
    }
    const { socket } = this;
    const bytes = Buffer.from(body);
    const lines = [
      `${method} ${target} HTTP/1.1`,
      ...Object.entries(headers).map(([k, v]) => `${k}: ${v}`),
    ];
    if (bytes.length > 0) lines.push(`Content-Length: ${bytes.length}`);
    return new Promise((resolve) => {
      let received = Buffer.alloc(0);
      const finish = (result) => {
        clearTimeout(timer);
        socket.removeAllListeners('data');
        socket.removeAllListeners('close');
        socket.removeAllListeners('error');
        socket.on('error', () => undefined);
        resolve(result);
      };
      const timer = setTimeout(() => {
        socket.destroy();
        finish({ timedOut: true, received: received.length });
      }, timeoutMs);
      socket.on('error', () => undefined);
      socket.on('close', () => {
        this.socket = undefined;
        finish({ closed: true, received: received.length });
      });
      socket.on('data', (chunk) => {
        received = Buffer.concat([received, chunk]);
        const end = received.indexOf('\r\n\r\n');
        if (end < 0) return;
        const [first, ...rest] = received.subarray(0, end).toString('latin1').split('\r\n');
        const fields = Object.fromEntries(
          rest.map((l) => [
            l.slice(0, l.indexOf(':')).toLowerCase(),
            l.slice(l.indexOf(':') + 1).trim(),
          ]),
        );
        const length = Number(fields['content-length'] ?? 0);
        if (received.length < end + 4 + length) return;
        if (fields.connection === 'close') {
          socket.destroy();
          this.socket = undefined;
        }
        finish({
          status: Number(first.split(' ')[1]),
          headers: fields,
          body: received.subarray(end + 4, end + 4 + length),
        });
      });
      socket.write(Buffer.concat([Buffer.from(`${lines.join('\r\n')}\r\n\r\n`), bytes]));
    });
  }

  close() {
    this.socket?.destroy();
  }
}

export function clientHeaders(id, deadlineMs = 3_000) {
  return {
    Host: HOST,
    'Marigoldbank-Request-Id': id,
    'Marigoldbank-Deadline-Ms': String(deadlineMs),
    'Marigoldbank-Credential': KEY,
  };
}

/** Waits until a condition holds. Returns whether it came to hold in time. */
export async function until(check, timeoutMs, everyMs = 50) {
  const end = performance.now() + timeoutMs;
  for (;;) {
    if (await Promise.resolve(check()).catch(() => false)) return true;
    if (performance.now() > end) return false;
    await sleep(everyMs);
  }
}

/** Whether all entries answer 200 at their ready address. */
export async function allReady(fleet) {
  const answers = await Promise.all(
    fleet.readys.map((address) => call(address, '/api/ready').catch(() => ({}))),
  );
  return answers.every(({ status }) => status === 200);
}

/** Asks every address for the configuration, following redirects. Returns the newest version read, 0 if none answers. */
export async function readVersion(addresses, record) {
  const answers = await Promise.all(
    addresses.map(async (address) => {
      try {
        const options = {
          method: 'POST',
          headers: { 'content-type': 'application/json' },
          body: '{}',
        };
        let res = await call(address, '/api/rpc?call=config.get', options);
        for (let hop = 0; hop < 2 && res.status === 307; hop += 1) {
          const url = new URL(res.headers.location);
          res = await call(url.host, url.pathname + url.search, options);
        }
        return res;
      } catch {
        return { status: 0 };
      }
    }),
  );
  const read = answers
    .filter(({ status }) => status === 200)
    .map(({ body }) => JSON.parse(String(body)).version);
  record.line(
    `operator reads: status ${answers.map(({ status }) => status).join(' ')}, version ${read.join(' ') || '-'}`,
  );
  return Math.max(0, ...read.map((version) => Number(version.slice(1))));
}

/** Address of the control node to which the others redirect, undefined without one for 5 s. */
export async function leaderAddress(addresses) {
  const options = { method: 'POST', headers: { 'content-type': 'application/json' }, body: '{}' };
  const end = performance.now() + 5_000;
  while (performance.now() < end) {
    for (const address of addresses) {
      const res = await call(address, '/api/rpc?call=config.get', options).catch(() => undefined);
      if (res?.status === 307) return new URL(res.headers.location).host;
    }
    await sleep(200);
  }
  return undefined;
}

/** Whether something accepts connections at an address. */
export function isAccepting(address) {
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    const socket = net.connect(Number(port), host);
    socket.once('connect', () => {
      socket.destroy();
      resolve(true);
    });
    socket.once('error', () => resolve(false));
  });
}
