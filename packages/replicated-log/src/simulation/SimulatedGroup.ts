/** A group of simulated VMs with clients and an operator. */
import { VirtualClock } from '@marigoldbank/base/virtual-clock';
import { Random } from '@marigoldbank/base/random';
import { FakeNetwork } from '../FakeNetwork.js';
import type { ReplicatedLog, ReplicatedLogOptions } from '../ReplicatedLog.js';
import { allMembers, includesMember, isSameMember } from '../quorum.js';
import type { Member } from '../types.js';
import { History } from './History.js';
import { SimulatedVm, STANDARD_MECHANISMS, type SafetyMechanisms } from './SimulatedVm.js';

/** Small limits, so that snapshots are taken and sent in chunks even in short runs. */
const SIMULATION_TUNING = {
  snapshotEveryEntries: 40,
  retainedEntries: 10,
  snapshotEveryBytes: 200,
  retainedBytes: 40,
  snapshotChunkBytes: 256,
  maxEntriesPerAppend: 8,
} as const;

/** Time between two observations of leaders and disks. */
const OBSERVATION_MS = 5;

export interface GroupOptions {
  readonly seed: number;
  readonly vms?: number;
  readonly mechanisms?: Partial<SafetyMechanisms>;
  readonly tuning?: ReplicatedLogOptions['tuning'];
}

export class SimulatedGroup {
  public readonly clock = new VirtualClock();

  public readonly random: Random;

  public readonly network: FakeNetwork;

  public readonly history = new History();

  public readonly vms: readonly SimulatedVm[];

  private commands = 0;

  public constructor(options: GroupOptions) {
    this.random = new Random(options.seed);
    this.network = new FakeNetwork(this.clock, this.random);
    const names = Array.from({ length: options.vms ?? 3 }, (_, i) => `vm-${i}`);
    const bootstrap = names.map((vm) => ({ vm, incarnation: '', address: `${vm}:1` }));
    const { clock, random, network, history } = this;
    const mechanisms = { ...STANDARD_MECHANISMS, ...options.mechanisms };
    const tuning = { ...SIMULATION_TUNING, ...options.tuning };
    const ctx = { clock, random, network, history, mechanisms, bootstrap, tuning };
    this.vms = bootstrap.map(({ vm, address }) => new SimulatedVm(vm, address, ctx));
  }

  public startAll(): void {
    this.vms.forEach((vm) => vm.start());
  }

  /** Lets time pass and observes the group. */
  public async run(durationMs: number): Promise<void> {
    const end = this.clock.now() + durationMs;
    while (this.clock.now() < end) {
      await this.clock.advanceAsync(Math.min(OBSERVATION_MS, end - this.clock.now()));
      this.observe();
    }
  }

  /** Lets time pass until the probe gives a value, at most `limitMs`. */
  public async runUntil<T>(probe: () => T | undefined, limitMs: number): Promise<T | undefined> {
    const end = this.clock.now() + limitMs;
    while (this.clock.now() < end && probe() === undefined) {
      await this.run(OBSERVATION_MS);
    }
    return probe();
  }

  /** Ends all faults and starts every VM. */
  public heal(): void {
    this.network.unblockAll();
    this.vms.forEach((vm) => vm.thaw());
    this.startAll();
  }

  /** The VM that leads with the highest term. */
  public get leader(): SimulatedVm | undefined {
    return this.vms
      .filter((vm) => vm.running?.status().role === 'leader')
      .sort((a, b) => b.running!.status().term - a.running!.status().term)[0];
  }

  /** Proposes a new command at a member, as a client does, and records an acknowledgement. */
  public async propose(log: ReplicatedLog): Promise<string> {
    this.commands += 1;
    const command = `command-${this.commands}`;
    const knownAtStart = this.history.knownCommitIndex;
    const outcome = await log.propose(Buffer.from(command));
    if (outcome.kind === 'committed') {
      this.history.recordWrite(command, outcome.index, knownAtStart);
    }
    return outcome.kind;
  }

  /** Requests a confirmed read at a member, as a client does, and checks the state that it sees. */
  public async read(log: ReplicatedLog): Promise<string> {
    const stateMachine = this.vms.find(({ running }) => running === log)?.stateMachine;
    const { knownCommitIndex, newestCommand } = this.history;
    const outcome = await log.confirmRead();
    if (outcome.kind === 'confirmed') {
      this.history.recordRead(outcome.index, knownCommitIndex);
      this.history.checkReadState(stateMachine?.commands ?? [], newestCommand);
    }
    return outcome.kind;
  }

  /** One step of replacing a member whose disk was lost: add a learner, remove the old voter, promote. */
  public async repairStep(): Promise<void> {
    const log = this.leader?.running;
    const lost = this.vms.find((vm) => !this.isVoter(vm.member));
    if (log === undefined || lost === undefined || lost.running === undefined) return;
    const { membership } = log.status();
    const { member } = lost;
    const isOldVoter = (voter: Member): boolean =>
      voter.vm === member.vm && !isSameMember(voter, member);
    const old = membership.voters.find(isOldVoter);
    if (!includesMember(allMembers(membership), member)) {
      await log.addLearner(member);
    } else if (old !== undefined) {
      await log.removeMember(old.vm, old.incarnation);
    } else {
      await this.promote(log, lost);
    }
  }

  /** Whether every VM's current incarnation is a voter in a committed membership. */
  public get isRepaired(): boolean {
    return this.vms.every((vm) => this.isVoter(vm.member));
  }

  /** Compares the entries on the disks of all members. */
  public checkDisks(): void {
    this.vms.forEach(({ disk }) => this.history.recordStored(disk.entries));
  }

  private async promote(log: ReplicatedLog, learner: SimulatedVm): Promise<void> {
    // After a confirmed read the leader decides on the promotion at once, so the disk is checked just before it.
    if ((await log.confirmRead()).kind !== 'confirmed') return;
    const isBehind = learner.disk.lastIndex < log.status().commitIndex;
    const outcome = await log.promoteLearner(learner.vm);
    if (outcome.kind === 'committed' && isBehind) {
      this.history.violations.push(`${learner.vm} was promoted without all committed entries`);
    }
  }

  private isVoter(member: Member): boolean {
    const { running } = this.leader ?? {};
    if (running === undefined) return false;
    const { commitIndex, lastIndex, membership } = running.status();
    return commitIndex === lastIndex && includesMember(membership.voters, member);
  }

  private observe(): void {
    this.vms.forEach(({ running, disk }) => {
      if (running?.status().role === 'leader') {
        this.history.recordLeader(running.status().term, disk.identity.incarnation);
      }
    });
  }
}
