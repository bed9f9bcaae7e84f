/** Leadership of one term, from winning the election to stepping down. */
import { DisposableStore, type IDisposable } from '@marigoldbank/base/lifecycle';
import { setPeriodic } from '@marigoldbank/base/clock';
import type { AppliedEntry } from './Applier.js';
import type { ConsensusContext } from './context.js';
import { encodeMembership } from './membership.js';
import type { ChangePlan } from './membershipChanges.js';
import { allMembers, isSameMember, majorityValue } from './quorum.js';
import { PendingReads } from './PendingReads.js';
import { Replicator } from './Replicator.js';
import type {
  ConfirmedState,
  LogEntryKind,
  Member,
  MemberProgress,
  Membership,
  MembershipOutcome,
  ProposeOutcome,
  ReadOutcome,
} from './types.js';

const NO_DATA = new Uint8Array();

const NOT_LEADER = { kind: 'notLeader', leader: undefined } as const;

/** Events that end a leadership. */
export interface LeaderListener {
  observeTerm(term: number): void;
  stepDown(): void;
}

/** Called with the applied entry, or with undefined if leadership ended before that. */
type EntryOutcome = (applied: AppliedEntry | undefined) => void;

export class Leader implements IDisposable {
  private readonly store = new DisposableStore();

  private readonly reads: PendingReads;

  private readonly pendingEntries = new Map<number, EntryOutcome>();

  private replicators: Replicator[] = [];

  /** Replicators of removed members that may not know of their removal yet. */
  private readonly removedReplicators = new Set<Replicator>();

  private readonly term: number;

  private readonly startedAt: number;

  private noopIndex = 0;

  private sequence = 0;

  private readRoundSentAt: number | undefined;

  private heartbeatAt: number;

  /** Whether the check of the majority was skipped at the last heartbeat. */
  private hasSkippedCheck = false;

  public constructor(
    private readonly ctx: ConsensusContext,
    private readonly listener: LeaderListener,
  ) {
    this.term = ctx.state.term;
    this.startedAt = ctx.clock.now();
    this.heartbeatAt = this.startedAt;
    this.reads = new PendingReads(ctx.state.self, (acknowledgedBy) =>
      ctx.rules.isReadConfirmed(acknowledgedBy, ctx.state.membership.voters),
    );
  }

  /** Starts heartbeats and writes the first entries of the term. */
  public start(): void {
    const { ctx, store } = this;
    const { log } = ctx.state;
    store.add(ctx.applier.onApplied((applied) => this.onApplied(applied)));
    store.add(ctx.writer.onDurable(() => this.advanceCommit()));
    store.add(setPeriodic(ctx.clock, () => this.onHeartbeat(), ctx.tuning.heartbeatIntervalMs));
    store.add(setPeriodic(ctx.clock, () => this.checkDisk(), ctx.tuning.heartbeatIntervalMs));
    this.updateReplicators();
    this.noopIndex = log.lastIndex + 1;
    this.append('noop', NO_DATA);
    if (log.membershipIndex === 0) {
      // Members that are added later learn the initial membership from the log.
      this.append('membership', encodeMembership(log.membership));
    }
    this.broadcast();
  }

  public dispose(): void {
    this.store.dispose();
    [...this.replicators, ...this.removedReplicators].forEach((replicator) => replicator.stop());
    this.reads.abandon();
    const outcomes = [...this.pendingEntries.values()];
    this.pendingEntries.clear();
    outcomes.forEach((resolve) => resolve(undefined));
  }

  /**
   * Whether a majority has answered messages that were sent within the shortest election timeout. Each voter counts as
   * having answered a message sent at `since`, by default the start of the leadership, so that a new leader does not
   * step down before the first answers arrive.
   */
  public hasQuorumContact(
    voters: readonly Member[] = this.ctx.state.membership.voters,
    since: number = this.startedAt,
  ): boolean {
    const now = this.ctx.clock.now();
    const contacts = voters.map((voter) => this.contactOf(voter, now, since));
    return majorityValue(contacts) >= now - this.ctx.tuning.electionTimeoutMinMs;
  }

  public async propose(data: Uint8Array): Promise<ProposeOutcome> {
    if (!this.checkQuorum()) return NOT_LEADER;
    const applied = await this.appendAndWait('command', data);
    if (applied === undefined) return { kind: 'unknown' };
    return { kind: 'committed', index: applied.entry.index, result: applied.result };
  }

  /** Confirms a read by messages of its own if it is urgent, otherwise by the next heartbeats. */
  public async confirmRead(isUrgent: boolean): Promise<ReadOutcome> {
    if (!this.checkQuorum()) return NOT_LEADER;
    if (!(await this.waitForCommitInTerm()) || this.store.isDisposed) return NOT_LEADER;
    const outcome = this.reads.add(this.sequence, this.ctx.state.commitIndex, isUrgent);
    this.startReadRound();
    return outcome;
  }

  /** The state as of the newest message that a majority has answered in this term. */
  public confirmedState(): ConfirmedState | undefined {
    const { state, clock } = this.ctx;
    if (this.store.isDisposed || state.commitIndex < this.noopIndex) return undefined;
    const now = clock.now();
    const contacts = state.membership.voters.map((voter) => this.contactOf(voter, now, -Infinity));
    const at = majorityValue(contacts);
    return at === -Infinity ? undefined : { index: state.commitIndex, at };
  }

  /** Applies one change of membership; a second one is rejected until the first is committed. */
  public async changeMembership(
    plan: (membership: Membership) => ChangePlan,
  ): Promise<MembershipOutcome> {
    const { state } = this.ctx;
    if (!this.checkQuorum() || !(await this.waitForCommitInTerm())) return NOT_LEADER;
    if (this.store.isDisposed) return NOT_LEADER;
    if (state.log.membershipIndex > state.commitIndex) {
      return { kind: 'rejected', reason: 'another change of membership is not committed yet' };
    }
    const change = plan(state.membership);
    if (change.kind === 'rejected') return change;
    if (!this.hasQuorumContact(change.membership.voters, -Infinity)) {
      return {
        kind: 'rejected',
        reason: 'a majority of the voters after the change is out of reach',
      };
    }
    const applied = await this.appendAndWait('membership', encodeMembership(change.membership));
    return applied === undefined
      ? { kind: 'unknown' }
      : { kind: 'committed', membership: change.membership };
  }

  /** Whether the leader knows the learner's log to hold everything committed. */
  public isCaughtUp(learner: Member): boolean {
    const replicator = this.replicatorOf(learner);
    const { rules, state } = this.ctx;
    return replicator !== undefined && rules.isCaughtUp(replicator.matchIndex, state.commitIndex);
  }

  public get progress(): MemberProgress[] {
    const { learners } = this.ctx.state.membership;
    return this.replicators.map(({ member, matchIndex, lastContactAt }) => {
      const isLearner = learners.some((learner) => isSameMember(learner, member));
      return { member, isLearner, matchIndex, lastContactAt };
    });
  }

  private append(kind: LogEntryKind, data: Uint8Array): number {
    const { state, writer } = this.ctx;
    const index = state.log.lastIndex + 1;
    state.log.append({ index, term: this.term, kind, data });
    writer.markLog(index);
    if (kind === 'membership') this.updateReplicators();
    return index;
  }

  private appendAndWait(kind: LogEntryKind, data: Uint8Array): Promise<AppliedEntry | undefined> {
    const index = this.append(kind, data);
    const outcome = new Promise<AppliedEntry | undefined>((resolve) => {
      this.pendingEntries.set(index, resolve);
    });
    this.replicators.forEach((replicator) => replicator.replicate());
    return outcome;
  }

  /** Resolves with true when an entry of this term is committed, with false if leadership ends before. */
  private async waitForCommitInTerm(): Promise<boolean> {
    if (this.store.isDisposed) return false;
    if (this.ctx.state.commitIndex >= this.noopIndex) return true;
    return new Promise<boolean>((resolve) => {
      const former = this.pendingEntries.get(this.noopIndex);
      this.pendingEntries.set(this.noopIndex, (applied) => {
        former?.(applied);
        resolve(applied !== undefined);
      });
    });
  }

  private onApplied(applied: AppliedEntry): void {
    const { index } = applied.entry;
    const resolve = this.pendingEntries.get(index);
    this.pendingEntries.delete(index);
    resolve?.(applied);
  }

  private advanceCommit(): void {
    const { state, applier, writer } = this.ctx;
    if (this.store.isDisposed) return;
    const matches = state.membership.voters.map((voter) =>
      isSameMember(voter, state.self)
        ? writer.durableIndex
        : (this.replicatorOf(voter)?.matchIndex ?? 0),
    );
    const index = majorityValue(matches);
    // An entry of an older term may be replaced even if a majority has it, so it is committed only with a later one.
    if (index <= state.commitIndex || state.log.termAt(index) !== this.term) return;
    applier.commitTo(index);
    this.onCommitted();
  }

  private onCommitted(): void {
    const { state } = this.ctx;
    if (state.log.membershipIndex > state.commitIndex) return;
    this.notifyRemovedMembers();
    if (!state.isVoter) {
      // A last heartbeat informs the others that the removal of this leader is committed.
      this.broadcast();
      this.listener.stepDown();
    }
  }

  private onHeartbeat(): void {
    const { clock, tuning } = this.ctx;
    const lateMs = clock.now() - this.heartbeatAt - tuning.heartbeatIntervalMs;
    this.heartbeatAt = clock.now();
    // Answers that arrived while this process was paused are read after its timers, so they get one more period.
    this.hasSkippedCheck = !this.hasSkippedCheck && lateMs > tuning.heartbeatIntervalMs;
    if (!this.hasSkippedCheck && !this.checkQuorum()) return;
    this.broadcast();
    this.replicators.forEach((replicator) => replicator.replicate());
    this.removedReplicators.forEach((replicator) => replicator.replicate());
  }

  /**
   * Lets another member lead if the disk here is full and a voter has stored what this one cannot. If all disks are full,
   * this member goes on to confirm reads.
   */
  private checkDisk(): void {
    const { state, writer } = this.ctx;
    if (!writer.isDiskFull || this.store.isDisposed) return;
    const isBehind = state.membership.voters.some(
      (voter) => (this.replicatorOf(voter)?.matchIndex ?? 0) > writer.durableIndex,
    );
    if (isBehind) this.listener.stepDown();
  }

  private broadcast(): void {
    this.replicators.forEach((replicator) => replicator.heartbeat());
  }

  private checkQuorum(): boolean {
    if (this.store.isDisposed) return false;
    if (this.hasRecentAnswers()) return true;
    this.listener.stepDown();
    return false;
  }

  /**
   * Whether answers of a majority were read within the shortest election timeout. When they were sent does not matter: a leader
   * without processor time reads them late, while its followers still hear it.
   */
  private hasRecentAnswers(): boolean {
    const { state, clock, tuning } = this.ctx;
    const now = clock.now();
    const readAt = state.membership.voters.map((voter) =>
      isSameMember(voter, state.self)
        ? now
        : Math.max(this.startedAt, this.replicatorOf(voter)?.lastContactAt ?? -Infinity),
    );
    return majorityValue(readAt) >= now - tuning.electionTimeoutMinMs;
  }

  private contactOf(voter: Member, now: number, since: number): number {
    if (isSameMember(voter, this.ctx.state.self)) return now;
    return Math.max(since, this.replicatorOf(voter)?.answeredSentAt ?? -Infinity);
  }

  private replicatorOf(member: Member): Replicator | undefined {
    return this.replicators.find((replicator) => isSameMember(replicator.member, member));
  }

  /** Creates replicators for new members. Removed members get no new entries until their removal is committed. */
  private updateReplicators(): void {
    const { state, clock, tuning } = this.ctx;
    const members = allMembers(state.membership);
    const isMember = (replicator: Replicator): boolean =>
      members.some((member) => isSameMember(member, replicator.member));
    const removed = this.replicators.filter((replicator) => !isMember(replicator));
    removed.forEach((replicator) => {
      replicator.setEndIndex(state.log.lastIndex);
      this.removedReplicators.add(replicator);
      const stop = (): void => this.stopReplicator(replicator);
      this.store.add(clock.setTimeout(stop, tuning.removalNoticeMs));
    });
    this.replicators = members
      .filter((member) => !isSameMember(member, state.self))
      .map((member) => this.replicatorOf(member) ?? this.createReplicator(member));
  }

  private notifyRemovedMembers(): void {
    this.removedReplicators.forEach((replicator) => {
      replicator.setEndIndex(Infinity);
      replicator.replicate();
    });
  }

  private stopReplicator(replicator: Replicator): void {
    replicator.stop();
    this.removedReplicators.delete(replicator);
  }

  private createReplicator(member: Member): Replicator {
    return new Replicator(this.ctx, this.term, member, {
      onAnswer: (replicator, sequence) => this.onAnswer(replicator, sequence),
      onMatch: () => this.advanceCommit(),
      onHigherTerm: (term) => this.listener.observeTerm(term),
      nextSequence: () => {
        this.sequence += 1;
        return this.sequence;
      },
    });
  }

  private onAnswer(replicator: Replicator, sequence: number): void {
    if (!this.reads.acknowledge(replicator.member, sequence)) return;
    this.readRoundSentAt = undefined;
    if (this.reads.hasUrgent) this.startReadRound();
  }

  /** Sends a round of heartbeats for pending reads. Reads requested during a round share the next one. */
  private startReadRound(): void {
    const now = this.ctx.clock.now();
    const isOutstanding =
      this.readRoundSentAt !== undefined &&
      now - this.readRoundSentAt < this.ctx.tuning.resendAfterMs;
    if (isOutstanding || !this.reads.hasUrgent) return;
    this.readRoundSentAt = now;
    this.broadcast();
  }
}
