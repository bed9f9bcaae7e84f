/** Answers entries and operators on a control VM, from the replicated configuration. */
import { randomUUID } from 'node:crypto';
import type { Clock } from '@marigoldbank/base/clock';
import { DisposableStore } from '@marigoldbank/base/lifecycle';
import type { Change } from '@marigoldbank/fleet/changes';
import {
  decodeChangeResult,
  encodeChange,
  type ConfigStateMachine,
} from '@marigoldbank/fleet/ConfigStateMachine';
import { makeListsPatch } from '@marigoldbank/fleet/lists-patch';
import type { IReplicatedLog, Member } from '@marigoldbank/replicated-log';
import { CONTROL_OPERATOR, JoinQueue, needsToJoin } from './JoinQueue.js';
import { LeaderTermState } from './LeaderTermState.js';
import type {
  AuditPage,
  ChangeProgress,
  ConfigUpdate,
  EntryReport,
  FleetStatus,
  NotLeader,
  PollOutcome,
  ProposalOutcome,
} from './types.js';

/** Largest number of audit records in one answer. */
const MAX_AUDIT_PAGE = 1_000;

function notLeader(leader: Member | undefined): NotLeader {
  return { kind: 'notLeader', leaderAddress: leader?.address };
}

export class ControlNode extends DisposableStore {
  private readonly joinQueue: JoinQueue;

  private termState: LeaderTermState;

  /** Epoch of the last view that was proposed as accepted. */
  private proposedEpoch = 0;

  public constructor(
    public readonly clock: Clock,
    public readonly log: IReplicatedLog,
    private readonly machine: ConfigStateMachine,
  ) {
    super();
    this.termState = new LeaderTermState(clock, 0, []);
    this.add(machine.onDidChange((config) => this.termState.commit(config)));
    this.joinQueue = this.add(
      new JoinQueue(clock, (change) => {
        // If the proposal is lost, the entry's next poll queues it again.
        this.propose(change).catch(() => undefined);
      }),
    );
  }

  /** Answers the poll of an entry after a confirmed read of the log. */
  public async poll(report: EntryReport): Promise<PollOutcome> {
    const read = await this.log.confirmRead();
    if (read.kind === 'notLeader') return notLeader(read.leader);
    const termState = this.currentTermState();
    const { config } = this.machine;
    termState.record(config, report);
    this.proposeAcceptedView(termState);
    if (needsToJoin(config, report.entry)) this.joinQueue.add(report.entry);
    return {
      kind: 'confirmed',
      committedRevision: config.revision,
      acceptedRevision: termState.acceptedRevision,
      acceptedAgeMs: termState.acceptedAgeMs,
      update: this.createUpdate(report),
      currentEntries: termState.currentEntries(config),
      leaderTimeMs: Math.floor(this.clock.now()),
      leaderTerm: termState.term,
    };
  }

  /** Commits a change. If the outcome is unknown, propose the change again with the same change id. */
  public async propose(change: Change): Promise<ProposalOutcome> {
    const outcome = await this.log.propose(encodeChange(this.toListsPatch(change)));
    if (outcome.kind === 'notLeader') return notLeader(outcome.leader);
    if (outcome.kind === 'unknown') return { kind: 'unknown' };
    const result = decodeChangeResult(outcome.result);
    const revision = 'revision' in result ? result.revision : this.machine.config.revision;
    return { kind: 'recorded', result, revision };
  }

  /** Reports whether a revision is accepted, and which entries do not have it in force yet. */
  public async changeProgress(revision: number): Promise<ChangeProgress | NotLeader> {
    const read = await this.log.confirmRead();
    if (read.kind === 'notLeader') return notLeader(read.leader);
    const { config } = this.machine;
    const { isAccepted, inForce, total, missing } = this.currentTermState().progress(
      config,
      revision,
    );
    return { kind: 'progress', isAccepted, entriesInForce: inForce, entriesTotal: total, missing };
  }

  public async status(): Promise<FleetStatus | NotLeader> {
    const read = await this.log.confirmRead();
    if (read.kind === 'notLeader') return notLeader(read.leader);
    const { config } = this.machine;
    return {
      kind: 'status',
      revision: config.revision,
      listsRevision: config.listsRevision,
      acceptedRevision: this.currentTermState().acceptedRevision,
      log: this.log.status(),
      entries: this.currentTermState().states(config),
    };
  }

  /** Returns the committed configuration. */
  public async readConfig(): Promise<
    { readonly kind: 'config'; readonly config: ConfigStateMachine['config'] } | NotLeader
  > {
    const read = await this.log.confirmRead();
    if (read.kind === 'notLeader') return notLeader(read.leader);
    return { kind: 'config', config: this.machine.config };
  }

  /** Returns audit records starting at `fromSequence`. */
  public async audit(fromSequence: number, limit: number): Promise<AuditPage | NotLeader> {
    const read = await this.log.confirmRead();
    if (read.kind === 'notLeader') return notLeader(read.leader);
    const { records } = this.machine.audit;
    const start = Math.max(0, fromSequence - 1);
    const count = Math.min(limit === 0 ? MAX_AUDIT_PAGE : limit, MAX_AUDIT_PAGE);
    return { kind: 'page', records: records.slice(start, start + count), total: records.length };
  }

  /** Returns a snapshot of the whole replicated state. */
  public async backup(): Promise<
    { readonly kind: 'backup'; readonly content: Uint8Array; readonly revision: number } | NotLeader
  > {
    const read = await this.log.confirmRead();
    if (read.kind === 'notLeader') return notLeader(read.leader);
    return {
      kind: 'backup',
      content: this.machine.snapshot(),
      revision: this.machine.config.revision,
    };
  }

  /** Turns a replacement of the lists into a patch if it is based on the committed lists. */
  private toListsPatch(change: Change): Change {
    const { config } = this.machine;
    if (change.kind !== 'applyLists' || change.baseListsRevision !== config.listsRevision) {
      return change;
    }
    const { lists, ...header } = change;
    return { ...header, kind: 'patchLists', patch: makeListsPatch(config.lists, lists) };
  }

  private createUpdate({ revision, needsWholeConfig }: EntryReport): ConfigUpdate {
    const { config } = this.machine;
    if (revision === config.revision) return { kind: 'none' };
    const changes = needsWholeConfig ? undefined : this.machine.changesSince(revision);
    return changes === undefined ? { kind: 'config', config } : { kind: 'changes', changes };
  }

  /**
   * State of the current term. In a new term it starts without reports, which the leader collects again from polls; only
   * the views that are not accepted yet are known from the log.
   */
  private currentTermState(): LeaderTermState {
    const { term } = this.log.status();
    if (term !== this.termState.term) {
      this.termState = new LeaderTermState(this.clock, term, this.machine.openViews);
      this.proposedEpoch = 0;
    }
    return this.termState;
  }

  /** Commits that the view is accepted, so that later leaders do not need the majorities of older views. */
  private proposeAcceptedView(termState: LeaderTermState): void {
    const { epoch } = this.machine.config.view;
    const isAccepted = termState.acceptedRevision >= this.machine.config.revision;
    if (!isAccepted || this.machine.openViews.length === 0 || this.proposedEpoch >= epoch) return;
    this.proposedEpoch = epoch;
    this.propose({
      kind: 'acceptView',
      changeId: `accept-${randomUUID()}`,
      operator: CONTROL_OPERATOR,
      at: new Date().toISOString(),
      epoch,
    }).catch(() => undefined);
  }
}
