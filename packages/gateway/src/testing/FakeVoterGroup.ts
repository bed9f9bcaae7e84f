/** Log processes with their voter management in virtual time: processes end, disks are lost, and VMs are added. */
import { delay } from '@marigoldbank/base/clock';
import { Random } from '@marigoldbank/base/random';
import { VirtualClock } from '@marigoldbank/base/virtual-clock';
import { NullLogger } from '@marigoldbank/daemon/telemetry/NullLogger';
import { openReplicatedLog, type Member, type ReplicatedLog } from '@marigoldbank/replicated-log';
import {
  FakeNetwork,
  FakeTransport,
  MemoryDisk,
  MemoryLogStorage,
  ProcessClock,
} from '@marigoldbank/replicated-log/testing';
import { encodeCommand } from '../control/commands.js';
import { TUNING } from '../control/ControlProcess.js';
import { PlanStateMachine } from '../control/PlanStateMachine.js';
import { VoterManager, type VoterManagerContext } from '../control/VoterManager.js';
import { makeEmptyPlan } from './fixtures.js';
import { TimedTransport, withTimeout } from './TimedTransport.js';

/** Interval at which conditions are checked and commands are proposed again. */
const STEP_MS = 10;

interface LogProcess {
  readonly clock: ProcessClock;
  readonly storage: MemoryLogStorage;
  readonly log: ReplicatedLog;
  readonly stateMachine: PlanStateMachine;
  readonly voterManager: VoterManager;
}

function addressOf(vm: string): string {
  return `${vm}:1`;
}

export class FakeVoterGroup {
  public readonly clock = new VirtualClock();

  private readonly random: Random;

  private readonly network: FakeNetwork;

  private readonly disks = new Map<string, MemoryDisk>();

  private readonly processes = new Map<string, LogProcess>();

  private readonly desiredVoters: number;

  private constructor(
    private readonly founders: readonly string[],
    seed: number,
  ) {
    this.random = new Random(seed);
    this.network = new FakeNetwork(this.clock, this.random);
    this.desiredVoters = founders.length;
  }

  /** Starts the founders. All of them are desired as voters. */
  public static async start(founders: readonly string[], seed: number): Promise<FakeVoterGroup> {
    const group = new FakeVoterGroup(founders, seed);
    await group.settle(Promise.all(founders.map((vm) => group.startVm(vm))));
    await group.waitFor(() => group.leader !== undefined, 5_000);
    return group;
  }

  /** VM of the leader, undefined without one. */
  public get leader(): string | undefined {
    return [...this.processes]
      .filter(([, { log }]) => log.status().role === 'leader')
      .sort(([, a], [, b]) => b.log.status().term - a.log.status().term)
      .map(([vm]) => vm)[0];
  }

  public get voters(): readonly Member[] {
    const { leader } = this;
    if (leader === undefined) return [];
    return this.processes.get(leader)!.log.status().membership.voters;
  }

  /** Whether a VM is a voter with the disk that it has now. */
  public isVoter(vm: string): boolean {
    const { incarnation } = this.disks.get(vm)!.identity;
    return this.voters.some((voter) => voter.vm === vm && voter.incarnation === incarnation);
  }

  /** Whether any process knows a VM, with the disk that it has now, as a learner. */
  public isLearner(vm: string): boolean {
    const { incarnation } = this.disks.get(vm)!.identity;
    return [...this.processes.values()].some(({ log }) =>
      log.status().membership.learners.some((other) => other.incarnation === incarnation),
    );
  }

  /** Starts the log process of a VM on the disk that the VM has, or on an empty one. */
  public async startVm(vm: string): Promise<void> {
    const { network, random } = this;
    const isFounder = !this.disks.has(vm) && this.founders.includes(vm);
    const disk = this.disks.get(vm) ?? new MemoryDisk();
    this.disks.set(vm, disk);
    const clock = new ProcessClock(this.clock);
    const storage = new MemoryLogStorage(disk, clock, random.fork());
    const stateMachine = new PlanStateMachine();
    const log = await openReplicatedLog({
      vm,
      address: addressOf(vm),
      storage,
      transport: new TimedTransport(clock, new FakeTransport(network, addressOf(vm))),
      stateMachine,
      bootstrap: isFounder
        ? this.founders.map((other) => ({ vm: other, address: addressOf(other), incarnation: '' }))
        : undefined,
      clock,
      random: random.fork(),
      tuning: TUNING,
    });
    const voterManager = new VoterManager({
      clock,
      log,
      logger: new NullLogger(),
      desiredVoters: this.desiredVoters,
      seeds: () => this.founders.map(addressOf),
      clientOf: this.clientOf(vm, clock),
    });
    network.attach(addressOf(vm), log);
    this.processes.set(vm, { clock, storage, log, stateMachine, voterManager });
  }

  /** Ends the process of a VM. Its disk keeps what was synced. */
  public kill(vm: string): void {
    const process = this.processes.get(vm)!;
    process.clock.stop();
    process.storage.crash();
    process.voterManager.dispose();
    this.network.detach(addressOf(vm));
    this.processes.delete(vm);
  }

  /** Stops the process of a VM as planned. */
  public async stopVm(vm: string): Promise<void> {
    await this.settle(this.processes.get(vm)!.voterManager.leave());
    this.kill(vm);
  }

  /** Replaces the disk of a VM whose process has ended by an empty one. */
  public loseDisk(vm: string): void {
    this.disks.set(vm, new MemoryDisk());
  }

  /** Ends the process of a VM and starts it after `offMs` on an empty disk. */
  public async restartWithoutDisk(vm: string, offMs: number): Promise<void> {
    this.kill(vm);
    this.loseDisk(vm);
    await this.advance(offMs);
    await this.settle(this.startVm(vm));
  }

  public advance(durationMs: number): Promise<void> {
    return this.clock.advanceAsync(durationMs);
  }

  /** Lets time pass until the condition holds. Returns whether it does within `limitMs`. */
  public async waitFor(isMet: () => boolean, limitMs: number): Promise<boolean> {
    const end = this.clock.now() + limitMs;
    while (!isMet() && this.clock.now() < end) await this.advance(1);
    return isMet();
  }

  /** Commits a plan of this version. Returns false if it is not acknowledged within `limitMs`. */
  public async commit(version: number, limitMs: number): Promise<boolean> {
    const plan = makeEmptyPlan(version);
    const data = encodeCommand({ kind: 'putPlan', document: '', plan });
    let isCommitted = false;
    const end = this.clock.now() + limitMs;
    const propose = async (): Promise<void> => {
      while (!isCommitted && this.clock.now() < end) {
        const { leader } = this;
        const outcome =
          leader === undefined ? undefined : await this.processes.get(leader)!.log.propose(data);
        isCommitted ||= outcome?.kind === 'committed';
        await delay(this.clock, STEP_MS);
      }
    };
    propose().catch(() => undefined);
    return this.waitFor(() => isCommitted, limitMs);
  }

  /** Version of the plan that a leader confirms, 0 if none does within `limitMs`. */
  public async read(limitMs: number): Promise<number> {
    let version = 0;
    const end = this.clock.now() + limitMs;
    const confirm = async (): Promise<void> => {
      while (version === 0 && this.clock.now() < end) {
        const { leader } = this;
        const process = leader === undefined ? undefined : this.processes.get(leader);
        const outcome = await process?.log.confirmRead();
        if (outcome?.kind === 'confirmed') {
          version = process?.stateMachine.current?.plan.version ?? 0;
        }
        await delay(this.clock, STEP_MS);
      }
    };
    confirm().catch(() => undefined);
    await this.waitFor(() => version > 0, limitMs);
    return version;
  }

  private async settle(work: Promise<unknown>): Promise<void> {
    let isSettled = false;
    work
      .catch(() => undefined)
      .finally(() => {
        isSettled = true;
      });
    await this.waitFor(() => isSettled, 5_000);
  }

  private clientOf(from: string, clock: ProcessClock): VoterManagerContext['clientOf'] {
    const processAt = (address: string): LogProcess | undefined =>
      [...this.processes].find(([vm]) => addressOf(vm) === address)?.[1];
    const join = async (to: string, member: Member, timeoutMs: number): Promise<object> => {
      const answer = this.network.call(addressOf(from), to, async () => {
        const { voterManager, log } = processAt(to)!;
        const isAccepted = await voterManager.admit(member);
        const { leader, membership } = log.status();
        const members = [...membership.voters, ...membership.learners];
        return {
          isAccepted,
          leaderAddress: leader?.address ?? '',
          memberAddresses: members.map(({ address }) => address),
        };
      });
      return withTimeout(clock, answer, timeoutMs);
    };
    const leave = async (to: string, member: Member, timeoutMs: number): Promise<object> => {
      const answer = this.network.call(addressOf(from), to, async () => {
        await Promise.resolve();
        return { isAccepted: processAt(to)!.voterManager.release(member) };
      });
      return withTimeout(clock, answer, timeoutMs);
    };
    return ((to: string) => ({
      join: (member: Member, { timeoutMs }: { timeoutMs: number }) => join(to, member, timeoutMs),
      leave: (member: Member, { timeoutMs }: { timeoutMs: number }) => leave(to, member, timeoutMs),
    })) as unknown as VoterManagerContext['clientOf'];
  }
}
