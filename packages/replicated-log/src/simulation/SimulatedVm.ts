/** One simulated VM: a disk that survives crashes and a process that does not. */
import type { Clock } from '@marigoldbank/base/clock';
import type { Random } from '@marigoldbank/base/random';
import type { FakeNetwork } from '../FakeNetwork.js';
import { FakeTransport } from '../FakeTransport.js';
import { MemoryDisk } from '../MemoryDisk.js';
import { MemoryLogStorage } from '../MemoryLogStorage.js';
import { ReplicatedLog, type ReplicatedLogOptions } from '../ReplicatedLog.js';
import type { SafetyRules } from '../SafetyRules.js';
import { StandardRules } from '../StandardRules.js';
import type { Member } from '../types.js';
import { CommandJournal } from './CommandJournal.js';
import type { History } from './History.js';
import { ProcessClock } from './ProcessClock.js';

/** Clocks run at 0.3 to 1.3 times the true rate: safety must not rest on them. */
const MIN_CLOCK_RATE = 0.3;

/** Parts of a VM that tests replace to switch a safety mechanism off. */
export interface Mechanisms {
  createRules(): SafetyRules;
  createStorage(disk: MemoryDisk, clock: Clock, random: Random): MemoryLogStorage;
}

export const STANDARD_MECHANISMS: Mechanisms = {
  createRules: () => new StandardRules(),
  createStorage: (disk, clock, random) => new MemoryLogStorage(disk, clock, random),
};

/** What all VMs of a group share. */
export interface SimulationContext {
  readonly clock: Clock;
  readonly random: Random;
  readonly network: FakeNetwork;
  readonly history: History;
  readonly mechanisms: Mechanisms;
  readonly bootstrap: readonly Member[];
  readonly tuning: ReplicatedLogOptions['tuning'];
}

export class SimulatedVm {
  public disk: MemoryDisk;

  public journal: CommandJournal;

  private log: ReplicatedLog | undefined;

  private processClock: ProcessClock;

  private storage: MemoryLogStorage | undefined;

  private incarnations = 0;

  public constructor(
    public readonly vm: string,
    public readonly address: string,
    private readonly ctx: SimulationContext,
  ) {
    this.disk = this.createDisk();
    this.journal = new CommandJournal(ctx.history);
    this.processClock = new ProcessClock(ctx.clock);
  }

  /** The member, if its process runs. */
  public get running(): ReplicatedLog | undefined {
    return this.log;
  }

  public get member(): Member {
    return { vm: this.vm, incarnation: this.disk.identity.incarnation, address: this.address };
  }

  /** Starts the process unless it runs. Opening the disk takes simulated time. */
  public start(): void {
    if (this.storage !== undefined) return;
    const { clock, random, mechanisms, history } = this.ctx;
    this.processClock = new ProcessClock(clock, MIN_CLOCK_RATE + random.float());
    this.journal = new CommandJournal(history);
    this.storage = mechanisms.createStorage(this.disk, this.processClock, random);
    this.open(this.storage, this.processClock).catch((err: unknown) => {
      history.violations.push(`${this.vm} did not start: ${String(err)}`);
    });
  }

  /** Ends the process without any cleanup. */
  public crash(): void {
    this.processClock.stop();
    this.storage?.crash();
    this.storage = undefined;
    this.log = undefined;
    this.ctx.network.detach(this.address);
  }

  /** Crash with loss of the disk. */
  public wipe(): void {
    this.crash();
    this.disk = this.createDisk();
  }

  public freeze(): void {
    this.processClock.freeze();
    this.ctx.network.freeze(this.address);
  }

  public thaw(): void {
    this.processClock.thaw();
    this.ctx.network.thaw(this.address);
  }

  private async open(storage: MemoryLogStorage, clock: Clock): Promise<void> {
    const { random, network, mechanisms, bootstrap, tuning } = this.ctx;
    const { vm, address, journal } = this;
    const options: ReplicatedLogOptions = {
      vm,
      address,
      storage,
      transport: new FakeTransport(network, address),
      stateMachine: journal,
      clock,
      random: random.fork(),
      bootstrap,
      tuning,
    };
    const log = await ReplicatedLog.open(options, mechanisms.createRules());
    // The process may have crashed while it opened its disk.
    if (this.storage !== storage) return;
    this.log = log;
    this.attach(log);
  }

  private createDisk(): MemoryDisk {
    this.incarnations += 1;
    const incarnation = `${this.vm}-${this.incarnations}`;
    return new MemoryDisk({ incarnation, founders: [], isFounded: false });
  }

  private attach(log: ReplicatedLog): void {
    const { network, history } = this.ctx;
    network.attach(this.address, {
      handleRequestVote: async (req) => {
        const res = await log.handleRequestVote(req);
        if (res.granted && !req.isPreVote) history.recordVote(req);
        return res;
      },
      handleAppendEntries: (req) => log.handleAppendEntries(req),
      handleInstallSnapshot: (req) => log.handleInstallSnapshot(req),
    });
  }
}
