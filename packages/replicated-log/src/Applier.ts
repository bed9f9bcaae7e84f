/** Applies committed entries to the state machine and takes snapshots. */
import { Emitter } from '@marigoldbank/base/events';
import type { ConsensusState } from './ConsensusState.js';
import type { DurableWriter } from './DurableWriter.js';
import type { Snapshot } from './LogStorage.js';
import type { StateMachine } from './StateMachine.js';
import type { LogEntry } from './types.js';

const EMPTY_RESULT = new Uint8Array();

/** A committed entry with the state machine's result, empty unless it is a command. */
export interface AppliedEntry {
  readonly entry: LogEntry;
  readonly result: Uint8Array;
}

/** Limits of the log kept in memory and on disk. */
export interface SnapshotPolicy {
  readonly snapshotEveryEntries: number;
  readonly snapshotEveryBytes: number;
  readonly retainedEntries: number;
  readonly retainedBytes: number;
}

export class Applier {
  private readonly appliedEmitter = new Emitter<AppliedEntry>();

  /** Fires for each applied entry, in order; not for entries that a received snapshot replaces. */
  public readonly onApplied = this.appliedEmitter.event;

  private snapshotIndex = 0;

  /** Bytes of data applied since the snapshot. */
  private appliedBytes = 0;

  private hasFailed = false;

  public constructor(
    private readonly state: ConsensusState,
    private readonly writer: DurableWriter,
    private readonly stateMachine: StateMachine,
    private readonly policy: SnapshotPolicy,
  ) {
    const { snapshot } = state.log;
    if (snapshot !== undefined) this.restore(snapshot);
  }

  /** Raises the commit index and applies the entries up to it. An error of the state machine stops the member. */
  public commitTo(index: number): void {
    try {
      this.applyTo(index);
    } catch (err) {
      this.hasFailed = true;
      this.writer.fail(err);
    }
  }

  /** Replaces the state by a received snapshot that is ahead of the commit index. */
  public install(snapshot: Snapshot): void {
    this.state.log.installSnapshot(snapshot);
    this.restore(snapshot);
    this.writer.markInstalledSnapshot(snapshot.index);
  }

  private applyTo(index: number): void {
    if (this.hasFailed) return;
    const target = Math.min(index, this.state.log.lastIndex);
    while (this.state.commitIndex < target) {
      const entry = this.state.log.entryAt(this.state.commitIndex + 1)!;
      this.state.commitIndex = entry.index;
      this.applyEntry(entry);
    }
    this.takeSnapshotIfDue();
  }

  private restore(snapshot: Snapshot): void {
    this.stateMachine.restore(snapshot.data);
    this.snapshotIndex = snapshot.index;
    this.appliedBytes = 0;
    this.state.commitIndex = snapshot.index;
  }

  private applyEntry(entry: LogEntry): void {
    this.appliedBytes += entry.data.length;
    const result =
      entry.kind === 'command' ? this.stateMachine.apply(entry.index, entry.data) : EMPTY_RESULT;
    this.appliedEmitter.fire({ entry, result });
  }

  private takeSnapshotIfDue(): void {
    if (!this.isSnapshotDue()) return;
    const { commitIndex, log } = this.state;
    const { retainedEntries, retainedBytes } = this.policy;
    const snapshot: Snapshot = {
      index: commitIndex,
      term: log.termAt(commitIndex)!,
      membership: log.membershipAt(commitIndex),
      data: this.stateMachine.snapshot(),
    };
    this.snapshotIndex = commitIndex;
    this.appliedBytes = 0;
    const dropTo = commitIndex - retainedEntries;
    log.compact(snapshot, Math.max(dropTo, log.indexBefore(commitIndex, retainedBytes)));
    this.writer.markSnapshot();
  }

  /** By entries, or by bytes once they exceed those of the snapshot before: a large state is not written for each change. */
  private isSnapshotDue(): boolean {
    const { snapshotEveryEntries, snapshotEveryBytes } = this.policy;
    const { commitIndex, log } = this.state;
    if (commitIndex - this.snapshotIndex >= snapshotEveryEntries) return true;
    const snapshotBytes = log.snapshot?.data.length ?? 0;
    return this.appliedBytes >= Math.max(snapshotEveryBytes, snapshotBytes);
  }
}
