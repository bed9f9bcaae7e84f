/** A control VM: answers entries and operators from the replicated configuration. */
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

/** Longest page of audit records in one answer. */
const MAX_AUDIT_PAGE = 1_000;

function notLeader(leader: Member | undefined): NotLeader {
  return { kind: 'notLeader', leaderAddress: leader?.address };
}

export class ControlNode extends DisposableStore {
  private readonly joins: JoinQueue;

  private leaderTerm: LeaderTermState;

  /** Epoch whose acceptance was proposed last. */
  private proposedEpoch = 0;

  public constructor(
    public readonly clock: Clock,
    public readonly log: IReplicatedLog,
    private readonly machine: ConfigStateMachine,
  ) {
    super();
    this.leaderTerm = new LeaderTermState(clock, 0, []);
    this.add(machine.onDidChange((config) => this.leaderTerm.commit(config)));
    this.joins = this.add(
      new JoinQueue(clock, (change) => {
        // A lost proposal is repeated by the entry's next poll.
        this.propose(change).catch(() => undefined);
      }),
    );
  }

  /** Answers an entry's poll after a confirmed read. */
  public async poll(report: EntryReport): Promise<PollOutcome> {
    const read = await this.log.confirmRead();
    if (read.kind === 'notLeader') return notLeader(read.leader);
    const term = this.currentTerm();
    const { config } = this.machine;
    term.record(config, report);
    this.proposeAcceptedView(term);
    if (needsToJoin(config, report.entry)) this.joins.add(report.entry);
    return {
      kind: 'confirmed',
      committedRevision: config.revision,
      acceptedRevision: term.acceptedRevision,
      acceptedAgeMs: term.acceptedAgeMs,
      update: this.updateFor(report),
      currentEntries: term.currentEntries(config),
      leaderTimeMs: Math.floor(this.clock.now()),
      leaderTerm: term.term,
    };
  }

  /** Records a change. An unknown outcome is resolved by sending the change again with the same change id. */
  public async propose(change: Change): Promise<ProposalOutcome> {
    const outcome = await this.log.propose(encodeChange(this.shrink(change)));
    if (outcome.kind === 'notLeader') return notLeader(outcome.leader);
    if (outcome.kind === 'unknown') return { kind: 'unknown' };
    const result = decodeChangeResult(outcome.result);
    const revision = 'revision' in result ? result.revision : this.machine.config.revision;
    return { kind: 'recorded', result, revision };
  }

  /** How far a recorded revision is in force. */
  public async changeProgress(revision: number): Promise<ChangeProgress | NotLeader> {
    const read = await this.log.confirmRead();
    if (read.kind === 'notLeader') return notLeader(read.leader);
    const { config } = this.machine;
    const { isAccepted, inForce, total, missing } = this.currentTerm().progress(config, revision);
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
      acceptedRevision: this.currentTerm().acceptedRevision,
      log: this.log.status(),
      entries: this.currentTerm().states(config),
    };
  }

  /** The configuration, for operators. */
  public async readConfig(): Promise<
    { readonly kind: 'config'; readonly config: ConfigStateMachine['config'] } | NotLeader
  > {
    const read = await this.log.confirmRead();
    if (read.kind === 'notLeader') return notLeader(read.leader);
    return { kind: 'config', config: this.machine.config };
  }

  /** Audit records from `fromSequence` on. */
  public async audit(fromSequence: number, limit: number): Promise<AuditPage | NotLeader> {
    const read = await this.log.confirmRead();
    if (read.kind === 'notLeader') return notLeader(read.leader);
    const { records } = this.machine.audit;
    const start = Math.max(0, fromSequence - 1);
    const count = Math.min(limit === 0 ? MAX_AUDIT_PAGE : limit, MAX_AUDIT_PAGE);
    return { kind: 'page', records: records.slice(start, start + count), total: records.length };
  }

  /** The whole state, for a backup. */
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

  /** Writes an edit of the lists as a patch, if it is based on the lists in force here. */
  private shrink(change: Change): Change {
    const { config } = this.machine;
    if (change.kind !== 'applyLists' || change.baseListsRevision !== config.listsRevision) {
      return change;
    }
    const { lists, ...header } = change;
    return { ...header, kind: 'patchLists', patch: makeListsPatch(config.lists, lists) };
  }

  private updateFor({ revision, needsWholeConfig }: EntryReport): ConfigUpdate {
    const { config } = this.machine;
    if (revision === config.revision) return { kind: 'none' };
    const changes = needsWholeConfig ? undefined : this.machine.changesSince(revision);
    return changes === undefined ? { kind: 'config', config } : { kind: 'changes', changes };
  }

  /** A new leader learns the reports of the entries again; only views not yet accepted are known from the log. */
  private currentTerm(): LeaderTermState {
    const { term } = this.log.status();
    if (term !== this.leaderTerm.term) {
      this.leaderTerm = new LeaderTermState(this.clock, term, this.machine.openViews);
      this.proposedEpoch = 0;
    }
    return this.leaderTerm;
  }

  /** Records that the view is accepted, so that a later leader need not ask the majorities of older views. */
  private proposeAcceptedView(term: LeaderTermState): void {
    const { epoch } = this.machine.config.view;
    const isAccepted = term.acceptedRevision >= this.machine.config.revision;
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
