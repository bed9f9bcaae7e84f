/** Accepts entries and snapshots from a leader. */
import type { ConsensusContext } from './context.js';
import { decodeMembership } from './membership.js';
import type { RoleManager } from './RoleManager.js';
import { SnapshotReceiver } from './SnapshotReceiver.js';
import type {
  AppendEntriesRequest,
  AppendEntriesResponse,
  InstallSnapshotRequest,
  InstallSnapshotResponse,
  LogEntry,
} from './types.js';

const REFUSED: AppendEntriesResponse = { term: 0, success: false, matchIndex: 0 };

export class Follower {
  private readonly receiver = new SnapshotReceiver();

  public constructor(
    private readonly ctx: ConsensusContext,
    private readonly roles: RoleManager,
  ) {}

  /** Appends entries and answers once they are durable. */
  public async handleAppendEntries(req: AppendEntriesRequest): Promise<AppendEntriesResponse> {
    const { state, writer, applier, rules } = this.ctx;
    if (!rules.isAddressee(state, req.toIncarnation)) return REFUSED;
    if (!Follower.isWellFormed(req)) return REFUSED;
    if (req.term < state.term) return { term: state.term, success: false, matchIndex: 0 };
    this.roles.observeTerm(req.term);
    this.roles.follow(req.leader);
    const continueAfter = this.findMismatch(req);
    if (continueAfter !== undefined) {
      await writer.flush();
      return { term: state.term, success: false, matchIndex: continueAfter };
    }
    const matchIndex = req.previousIndex + req.entries.length;
    this.storeEntries(req.entries);
    applier.commitTo(Math.min(req.commitIndex, matchIndex));
    // A heartbeat about entries that are stored is also answered while the disk is full: the leader needs it for reads.
    const isStored = req.entries.length === 0 && matchIndex <= writer.durableIndex;
    if (!isStored || !writer.isDiskFull) await writer.flush();
    // A newer leader may have replaced the entries during the write.
    if (state.term !== req.term) return { term: state.term, success: false, matchIndex: 0 };
    return { term: state.term, success: true, matchIndex };
  }

  /** Collects a snapshot and answers the last chunk when the snapshot is durable. */
  public async handleInstallSnapshot(
    req: InstallSnapshotRequest,
  ): Promise<InstallSnapshotResponse> {
    const { state, writer, rules } = this.ctx;
    if (!rules.isAddressee(state, req.toIncarnation)) return { term: 0, success: false };
    if (req.term < state.term) return { term: state.term, success: false };
    this.roles.observeTerm(req.term);
    this.roles.follow(req.leader);
    const isAccepted = req.lastIndex <= state.commitIndex || this.receive(req);
    await writer.flush();
    return { term: state.term, success: isAccepted && state.term === req.term };
  }

  private receive(req: InstallSnapshotRequest): boolean {
    const progress = this.receiver.accept(req);
    if (progress.kind === 'complete') this.ctx.applier.install(progress.snapshot);
    return progress.kind !== 'outOfOrder';
  }

  /** Whether the indexes are contiguous. Throws for a membership that cannot be decoded, before anything is stored. */
  private static isWellFormed({ entries, previousIndex }: AppendEntriesRequest): boolean {
    return entries.every((entry, i) => {
      if (entry.kind === 'membership') decodeMembership(entry.data);
      return entry.index === previousIndex + 1 + i;
    });
  }

  /** Index after which the leader continues if the log lacks the entry before the new ones, otherwise undefined. */
  private findMismatch({ previousIndex, previousTerm }: AppendEntriesRequest): number | undefined {
    const { log, commitIndex } = this.ctx.state;
    // Everything committed here is also in the leader's log.
    if (previousIndex <= commitIndex) return undefined;
    if (previousIndex > log.lastIndex) return log.lastIndex;
    if (log.termAt(previousIndex) === previousTerm) return undefined;
    return log.indexBeforeTermOf(previousIndex, commitIndex);
  }

  private storeEntries(entries: readonly LogEntry[]): void {
    const { state, writer } = this.ctx;
    const { log } = state;
    const isNew = (entry: LogEntry): boolean =>
      entry.index > state.commitIndex && log.termAt(entry.index) !== entry.term;
    const first = entries.findIndex(isNew);
    if (first === -1) return;
    const fresh = entries.slice(first);
    const from = fresh[0]!.index;
    if (from <= log.lastIndex) log.truncateFrom(from);
    fresh.forEach((entry) => log.append(entry));
    writer.markLog(from);
  }
}
