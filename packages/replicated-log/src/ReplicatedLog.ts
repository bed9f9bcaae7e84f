/** One member of a replicated log. */
import { Emitter, type Event } from '@marigoldbank/base/events';
import { SystemClock, type Clock } from '@marigoldbank/base/clock';
import { Random } from '@marigoldbank/base/random';
import { randomInt } from 'node:crypto';
import { Applier } from './Applier.js';
import { ConsensusState } from './ConsensusState.js';
import type { ConsensusTransport } from './ConsensusTransport.js';
import { DEFAULT_TUNING, type ConsensusContext, type Tuning } from './context.js';
import { DurableWriter } from './DurableWriter.js';
import { StoppedError } from './StoppedError.js';
import { Follower } from './Follower.js';
import { GroupBootstrap, BOOTSTRAP_TERM } from './GroupBootstrap.js';
import type { Leader } from './Leader.js';
import type { Identity, LogStorage, StoredState } from './LogStorage.js';
import { planAddLearner, planPromotion, planRemoval } from './membershipChanges.js';
import { MemoryLog } from './MemoryLog.js';
import { RoleManager } from './RoleManager.js';
import type { SafetyRules } from './SafetyRules.js';
import { StandardRules } from './StandardRules.js';
import type { StateMachine } from './StateMachine.js';
import type {
  AppendEntriesRequest,
  AppendEntriesResponse,
  ConfirmedState,
  InstallSnapshotRequest,
  InstallSnapshotResponse,
  IReplicatedLog,
  LogSize,
  LogStatus,
  Member,
  MembershipOutcome,
  ProposeOutcome,
  ReadOutcome,
  RequestVoteRequest,
  RequestVoteResponse,
  StoredLog,
} from './types.js';

const MAX_SEED = 0x7fffffff;

/** Options of a member. */
export interface ReplicatedLogOptions {
  /** Id of this VM, unique in the fleet. */
  readonly vm: string;
  /** Internal address of this VM, `ip:port`. */
  readonly address: string;
  readonly storage: LogStorage;
  readonly transport: ConsensusTransport;
  readonly stateMachine: StateMachine;
  /** Initial voters (founders) of a new group, this VM included; their incarnations may be empty. See the README. */
  readonly bootstrap?: readonly Member[] | undefined;
  /** Defaults to the monotonic clock of the process. */
  readonly clock?: Clock;
  /** Source of random election timeouts; randomly seeded by default. */
  readonly random?: Random;
  /** Overrides of single timings and limits. */
  readonly tuning?: Partial<Tuning>;
}

function withFounders(identity: Identity, options: ReplicatedLogOptions): Identity {
  const founders = options.bootstrap ?? [];
  if (!founders.some(({ vm }) => vm === options.vm)) return identity;
  const ownIncarnation = (vm: string): string => (vm === options.vm ? identity.incarnation : '');
  return {
    ...identity,
    founders: founders.map(({ vm, address }) => ({ vm, address, incarnation: ownIncarnation(vm) })),
  };
}

function isUnused({ vote, entries, snapshot, identity }: StoredState): boolean {
  const hasFounders = identity.founders.length > 0;
  return vote.term === 0 && entries.length === 0 && snapshot === undefined && !hasFounders;
}

/** A member: elections, replication, confirmed reads and membership changes. */
export class ReplicatedLog implements IReplicatedLog {
  private readonly failureEmitter = new Emitter<unknown>();

  /** Fires once if the storage or the state machine fails. The member has then stopped; restart the process. */
  public readonly onFailure = this.failureEmitter.event;

  /**
   * Fires with false when the disk has no space left, and with true when writes succeed again. Meanwhile the member keeps
   * what it has acknowledged, acknowledges nothing new, and does not ask for votes.
   */
  public readonly onDidChangeSpace: Event<boolean>;

  private readonly roles: RoleManager;

  private readonly follower: Follower;

  private readonly bootstrap: GroupBootstrap;

  private isStopped = false;

  private constructor(
    private readonly ctx: ConsensusContext,
    private readonly storage: LogStorage,
  ) {
    this.roles = new RoleManager(ctx);
    this.follower = new Follower(ctx, this.roles);
    this.bootstrap = new GroupBootstrap(ctx);
    this.onDidChangeSpace = ctx.writer.onDidChangeSpace;
    ctx.writer.onFailure((err) => this.onMemberFailure(err));
    this.bootstrap.start();
  }

  /** Opens the storage and starts the member. Rejects with `StorageError` if the durable state cannot be used. */
  public static async open(
    options: ReplicatedLogOptions,
    rules: SafetyRules = new StandardRules(),
  ): Promise<ReplicatedLog> {
    const { vm, address, storage, stateMachine, transport } = options;
    const stored = await storage.open();
    const identity = isUnused(stored) ? withFounders(stored.identity, options) : stored.identity;
    if (identity !== stored.identity) await storage.saveIdentity(identity);
    const log = new MemoryLog();
    if (identity.isFounded) log.setInitialMembership({ voters: identity.founders, learners: [] });
    log.load(stored.snapshot, stored.entries);
    const self = { vm, incarnation: identity.incarnation, address };
    const state = new ConsensusState(self, identity, log);
    state.term = stored.vote.term;
    state.votedFor = stored.vote.votedFor;
    const clock = options.clock ?? new SystemClock();
    const writer = new DurableWriter(storage, state, clock);
    const tuning = { ...DEFAULT_TUNING, ...options.tuning };
    const applier = new Applier(state, writer, stateMachine, tuning);
    const random = options.random ?? new Random(randomInt(MAX_SEED));
    const ctx = { state, writer, applier, transport, clock, random, tuning, rules };
    return new ReplicatedLog(ctx, storage);
  }

  public async propose(data: Uint8Array): Promise<ProposeOutcome> {
    const { leader } = this.roles;
    return this.withLeaderHint(leader ? await leader.propose(data) : undefined);
  }

  public confirmRead(): Promise<ReadOutcome> {
    return this.read(true);
  }

  public confirmReadByHeartbeat(): Promise<ReadOutcome> {
    return this.read(false);
  }

  public confirmedState(): ConfirmedState | undefined {
    return this.roles.leader?.confirmedState();
  }

  public addLearner(member: Member): Promise<MembershipOutcome> {
    return this.changeMembership((leader) =>
      leader.changeMembership((membership) => planAddLearner(membership, member)),
    );
  }

  public promoteLearner(vm: string): Promise<MembershipOutcome> {
    return this.changeMembership((leader) =>
      leader.changeMembership((membership) =>
        planPromotion(membership, vm, (learner) => leader.isCaughtUp(learner)),
      ),
    );
  }

  public removeMember(vm: string, incarnation: string): Promise<MembershipOutcome> {
    return this.changeMembership((leader) =>
      leader.changeMembership((membership) => planRemoval(membership, vm, incarnation)),
    );
  }

  public async handleRequestVote(req: RequestVoteRequest): Promise<RequestVoteResponse> {
    this.assertRunning();
    return this.roles.handleRequestVote(req);
  }

  public async handleAppendEntries(req: AppendEntriesRequest): Promise<AppendEntriesResponse> {
    this.assertRunning();
    return this.follower.handleAppendEntries(req);
  }

  public async handleInstallSnapshot(
    req: InstallSnapshotRequest,
  ): Promise<InstallSnapshotResponse> {
    this.assertRunning();
    return req.term === BOOTSTRAP_TERM
      ? this.bootstrap.handle(req)
      : this.follower.handleInstallSnapshot(req);
  }

  public status(): LogStatus {
    const { self, role, term, commitIndex, leader, membership, log } = this.ctx.state;
    const { lastIndex } = log;
    const progress = this.roles.leader?.progress ?? [];
    return { self, role, term, commitIndex, lastIndex, leader, membership, progress };
  }

  /** What this member keeps. */
  public size(): LogSize {
    const { snapshot, firstIndex, lastIndex, entryBytes } = this.ctx.state.log;
    const entries = lastIndex - firstIndex + 1;
    return { entries, entryBytes, snapshotBytes: snapshot?.data.length ?? 0 };
  }

  public storedAfter(index: number): StoredLog {
    const { log } = this.ctx.state;
    const { lastTerm, lastIndex } = log;
    return { lastTerm, lastIndex, entries: log.slice(index + 1) };
  }

  public async close(): Promise<void> {
    if (this.isStopped) return;
    this.stop();
    await this.ctx.writer.close();
    await this.storage.close();
  }

  private stop(): void {
    this.isStopped = true;
    this.roles.dispose();
    this.bootstrap.dispose();
  }

  private onMemberFailure(err: unknown): void {
    this.stop();
    this.failureEmitter.fire(err);
  }

  private assertRunning(): void {
    if (this.isStopped) throw new StoppedError();
  }

  private async read(isUrgent: boolean): Promise<ReadOutcome> {
    const { leader } = this.roles;
    return this.withLeaderHint(leader ? await leader.confirmRead(isUrgent) : undefined);
  }

  private async changeMembership(
    change: (leader: Leader) => Promise<MembershipOutcome>,
  ): Promise<MembershipOutcome> {
    const { leader } = this.roles;
    return this.withLeaderHint(leader ? await change(leader) : undefined);
  }

  private withLeaderHint<T extends { readonly kind: string }>(
    outcome: T | undefined,
  ): T | { readonly kind: 'notLeader'; readonly leader: Member | undefined } {
    if (outcome !== undefined && outcome.kind !== 'notLeader') return outcome;
    return { kind: 'notLeader', leader: this.ctx.state.leader };
  }
}
