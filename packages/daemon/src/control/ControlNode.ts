/** A control VM: answers entries and operators from the replicated configuration. */
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
import { EntryReports } from './EntryReports.js';
import { JoinQueue, needsToJoin } from './JoinQueue.js';
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
  private readonly reports: EntryReports;

  private readonly joins: JoinQueue;

  /** Term in which the reports were collected. */
  private reportsTerm = 0;

  public constructor(
    public readonly clock: Clock,
    public readonly log: IReplicatedLog,
    private readonly machine: ConfigStateMachine,
  ) {
    super();
    this.reports = new EntryReports(clock);
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
    this.dropReportsOfOldTerms();
    this.reports.record(report);
    const { config } = this.machine;
    if (needsToJoin(config, report.entry)) this.joins.add(report.entry);
    return {
      kind: 'confirmed',
      committedRevision: config.revision,
      acceptedRevision: this.reports.majorityRevision(config),
      acceptedAgeMs: 0,
      update: this.updateFor(report),
      currentEntries: this.reports.currentEntries(config),
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
    const states = this.reports.states(config);
    const missing = states.filter((state) => state.revision < revision);
    return {
      kind: 'progress',
      isAccepted: this.reports.majorityRevision(config) >= revision,
      entriesInForce: states.length - missing.length,
      entriesTotal: states.length,
      missing: missing.map((state) => state.record.vm),
    };
  }

  public async status(): Promise<FleetStatus | NotLeader> {
    const read = await this.log.confirmRead();
    if (read.kind === 'notLeader') return notLeader(read.leader);
    const { config } = this.machine;
    return {
      kind: 'status',
      revision: config.revision,
      listsRevision: config.listsRevision,
      acceptedRevision: this.reports.majorityRevision(config),
      log: this.log.status(),
      entries: this.reports.states(config),
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

  private dropReportsOfOldTerms(): void {
    const { term } = this.log.status();
    if (term === this.reportsTerm) return;
    this.reportsTerm = term;
    this.reports.clear();
  }
}
