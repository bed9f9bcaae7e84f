/** A fleet of real daemons on loopback for tests, the demo and measurements. */
import { mkdirSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import { testPorts } from '@marigoldbank/daemon/testing/PortAllocator';
import { stringify } from 'smol-toml';
import { fetch } from 'undici';
import { DaemonProcess } from './DaemonProcess.js';
import { Relay } from './Relay.js';

export const PEER_SECRET = 'peer-secret-of-the-test-fleet';
export const OPERATOR_SECRET = 'operator-secret-of-the-test-fleet';
export const ANNOUNCEMENT_SECRET = 'announcement-secret-of-the-test-fleet';

const DATA_CENTRES = ['dc-a', 'dc-b', 'dc-c'];

const POLL_MS = 50;

/** Maximum number of peers in the settings of a VM. */
const KNOWN_PEERS = 5;

export interface FleetOptions {
  readonly controlCount: number;
  readonly entryCount: number;
  /** Puts a relay in front of every internal address, so that traffic can be dropped in each direction. */
  readonly hasRelays: boolean;
  /** Number of entries with a data folder, which keep the configuration on disk; the first ones have it. */
  readonly entriesWithDisk?: number;
}

interface Vm {
  readonly vm: string;
  readonly dataCentre: string;
  readonly isControl: boolean;
  readonly ip: string;
  readonly internalAddress: string;
  readonly listenInternal: string;
  readonly callerAddress: string | undefined;
  readonly process: DaemonProcess;
}

/** Polls until `check` holds. Rejects after `timeoutMs`. */
export async function waitUntil(
  what: string,
  check: () => Promise<boolean> | boolean,
  timeoutMs: number,
): Promise<void> {
  const end = performance.now() + timeoutMs;
  for (;;) {
    if (await check()) return;
    if (performance.now() > end) throw new Error(`timed out after ${timeoutMs} ms: ${what}`);
    await new Promise((resolve) => {
      setTimeout(resolve, POLL_MS);
    });
  }
}

/** Whether a GET answers with status 200. */
export async function isOk(url: string): Promise<boolean> {
  try {
    const res = await fetch(url, { signal: AbortSignal.timeout(500) });
    await res.arrayBuffer();
    return res.ok;
  } catch {
    return false;
  }
}

export class Fleet {
  public readonly folder = mkdtempSync(path.join(os.tmpdir(), 'marigoldbank-'));

  private readonly vms = new Map<string, Vm>();

  private readonly relays: Relay[] = [];

  private readonly cuts = new Set<string>();

  private constructor(private readonly options: FleetOptions) {}

  /** Writes settings and starts all processes; does not wait until they serve. */
  public static async start(options: FleetOptions): Promise<Fleet> {
    const fleet = new Fleet(options);
    await fleet.allocateVms();
    fleet.vms.forEach((vm) => {
      fleet.writeSettings(vm);
      vm.process.start();
    });
    return fleet;
  }

  public get controls(): string[] {
    return [...this.vms.values()].filter((vm) => vm.isControl).map((vm) => vm.vm);
  }

  public get entries(): string[] {
    return [...this.vms.values()].filter((vm) => !vm.isControl).map((vm) => vm.vm);
  }

  public get controlAddresses(): string[] {
    return this.controls.map((vm) => this.vm(vm).listenInternal);
  }

  public process(vm: string): DaemonProcess {
    return this.vm(vm).process;
  }

  public callerUrl(vm: string): string {
    return `http://${this.vm(vm).callerAddress}`;
  }

  /** Internal address on which the VM listens, bypassing the relay. */
  public listenAddress(vm: string): string {
    return this.vm(vm).listenInternal;
  }

  /** Internal address that the other VMs use: the relay's if there is one. */
  public internalAddress(vm: string): string {
    return this.vm(vm).internalAddress;
  }

  /** URL of the internal address on which the VM listens, bypassing the relay. */
  public internalUrl(vm: string): string {
    return `http://${this.vm(vm).listenInternal}`;
  }

  /** Drops all data from one VM to the other. */
  public cut(from: string, to: string): void {
    this.cuts.add(`${from}>${to}`);
  }

  /** Drops all data between two groups of VMs, in both directions. */
  public partition(one: readonly string[], other: readonly string[]): void {
    one.forEach((a) =>
      other.forEach((b) => {
        this.cut(a, b);
        this.cut(b, a);
      }),
    );
  }

  /** Ends all cuts and closes all relayed connections, since some have lost data. */
  public heal(): void {
    this.cuts.clear();
    this.relays.forEach((relay) => relay.dropConnections());
  }

  /** Waits until every running entry reports that it is ready. */
  public async waitReady(timeoutMs: number, vms = this.entries): Promise<void> {
    await Promise.all(
      vms.map((vm) =>
        waitUntil(`${vm} is ready`, () => isOk(`${this.internalUrl(vm)}/readyz`), timeoutMs),
      ),
    );
  }

  /** Kills all processes and removes their files. */
  public async stop(): Promise<void> {
    await Promise.all(
      [...this.vms.values()].map(async ({ process: daemon }) => {
        daemon.thaw();
        await daemon.kill();
      }),
    );
    this.relays.forEach((relay) => relay.close());
    rmSync(this.folder, { recursive: true, force: true });
  }

  private vm(name: string): Vm {
    const vm = this.vms.get(name);
    if (vm === undefined) throw new RangeError(`the fleet has no VM ${name}`);
    return vm;
  }

  private async allocateVms(): Promise<void> {
    const { controlCount, entryCount } = this.options;
    const names = [
      ...Array.from({ length: controlCount }, (_, i) => `control-${i + 1}`),
      ...Array.from({ length: entryCount }, (_, i) => `entry-${i + 1}`),
    ];
    const allocated = await Promise.all(names.map((name, i) => this.allocateVm(name, i)));
    allocated.forEach((vm) => this.vms.set(vm.vm, vm));
    if (this.options.hasRelays) await Promise.all(allocated.map((vm) => this.startRelay(vm)));
  }

  private async allocateVm(name: string, i: number): Promise<Vm> {
    const isControl = name.startsWith('control');
    const ip = `127.0.0.${i + 10}`;
    const relayIp = `127.0.1.${i + 10}`;
    const listenInternal = `${ip}:${await testPorts.allocate(ip)}`;
    const internalAddress = this.options.hasRelays
      ? `${relayIp}:${await testPorts.allocate(relayIp)}`
      : listenInternal;
    const folder = path.join(this.folder, name);
    mkdirSync(folder, { recursive: true });
    return {
      vm: name,
      dataCentre: DATA_CENTRES[i % DATA_CENTRES.length]!,
      isControl,
      ip,
      internalAddress,
      listenInternal,
      callerAddress: isControl ? undefined : `${ip}:${await testPorts.allocate(ip)}`,
      process: new DaemonProcess({
        vm: name,
        settingsFile: path.join(folder, 'settings.toml'),
        dataFolder: this.hasDisk(name) ? path.join(folder, 'data') : undefined,
        logFile: path.join(folder, 'daemon.log'),
      }),
    };
  }

  private hasDisk(name: string): boolean {
    if (name.startsWith('control')) return true;
    return Number(name.split('-')[1]) <= (this.options.entriesWithDisk ?? 0);
  }

  private async startRelay(vm: Vm): Promise<void> {
    const byIp = new Map([...this.vms.values()].map((other) => [other.ip, other.vm]));
    const relay = new Relay({
      vm: vm.vm,
      listen: Fleet.parseAddress(vm.internalAddress),
      forward: Fleet.parseAddress(vm.listenInternal),
      vmOfAddress: (ip) => byIp.get(ip),
      isCut: (from, to) => this.cuts.has(`${from}>${to}`),
    });
    await relay.listen();
    this.relays.push(relay);
  }

  private writeSettings(vm: Vm): void {
    const settings = {
      vm: vm.vm,
      dataCentre: vm.dataCentre,
      roles: [vm.isControl ? 'control' : 'entry'],
      ...(vm.process.options.dataFolder === undefined
        ? {}
        : { dataFolder: vm.process.options.dataFolder }),
      ...(vm.callerAddress === undefined ? {} : { callerAddress: vm.callerAddress }),
      internalAddress: vm.internalAddress,
      outgoingAddress: vm.ip,
      bootstrap: vm.isControl,
      listen: { internal: vm.listenInternal },
      control: this.controls.map((name) => ({
        vm: name,
        address: this.vm(name).internalAddress,
      })),
      peers: this.entries
        .filter((name) => name !== vm.vm)
        .slice(0, KNOWN_PEERS)
        .map((name) => this.vm(name).internalAddress),
      secrets: {
        peer: PEER_SECRET,
        operator: OPERATOR_SECRET,
        announcement: ANNOUNCEMENT_SECRET,
      },
    };
    writeFileSync(vm.process.options.settingsFile, stringify(settings));
  }

  private static parseAddress(address: string): { host: string; port: number } {
    const [host, port] = address.split(':');
    return { host: host!, port: Number(port) };
  }
}
