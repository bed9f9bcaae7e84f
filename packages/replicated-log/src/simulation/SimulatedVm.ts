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
import { RecordingStateMachine } from './RecordingStateMachine.js';
import type { History } from './History.js';
import { ProcessClock } from './ProcessClock.js';

/** Clocks run at 0.3 to 1.3 times the true rate, since safety must not depend on them. */
const MIN_CLOCK_RATE = 0.3;

/** Factories that tests replace to disable a safety mechanism. */
export interface SafetyMechanisms {
  createRules(): SafetyRules;
  createStorage(disk: MemoryDisk, clock: Clock, random: Random): MemoryLogStorage;
}

export const STANDARD_MECHANISMS: SafetyMechanisms = {
  createRules: () => new StandardRules(),
  createStorage: (disk, clock, random) => new MemoryLogStorage(disk, clock, random),
};

/** Dependencies and settings shared by all VMs of a group. */
export interface SimulationContext {
  readonly clock: Clock;
  readonly random: Random;
  readonly network: FakeNetwork;
  readonly history: History;
  readonly mechanisms: SafetyMechanisms;
  readonly bootstrap: readonly Member[];
  readonly tuning: ReplicatedLogOptions['tuning'];
}

export class SimulatedVm {
  public disk: MemoryDisk;

  public stateMachine: RecordingStateMachine;

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
    this.stateMachine = new RecordingStateMachine(ctx.history);
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
    this.stateMachine = new RecordingStateMachine(history);
    this.storage = mechanisms.createStorage(this.disk, this.processClock, random);
    this.open(this.storage, this.processClock).catch((err: unknown) => {
      history.violations.push(`${this.vm} did not start: ${String(err)}`);
    });
  }

  /** Ends the process without cleanup. */
  public crash(): void {
    this.processClock.stop();
    this.storage?.crash();
    this.storage = undefined;
    this.log = undefined;
    this.ctx.network.detach(this.address);
  }

  /** Crashes the process and replaces the disk by an empty one. */
  public wipe(): void {
    this.crash();
    this.disk = this.createDisk();
  }

  /** Lets the disk run out of space, or have it again. */
  public setDiskFull(isFull: boolean): void {
    Object.assign(this.storage!, { isFull });
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
    const { vm, address, stateMachine } = this;
    const options: ReplicatedLogOptions = {
      vm,
      address,
      storage,
      transport: new FakeTransport(network, address),
      stateMachine,
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
    return new MemoryDisk(incarnation);
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
