/** Contents of a simulated disk, which survive a crash of the process. */
import { randomUUID } from 'node:crypto';
import type { Identity, Snapshot, StoredState, VoteRecord } from './LogStorage.js';
import type { LogEntry } from './types.js';

/** Synced state. Replacing the object by a new one simulates the loss of the disk. */
export class MemoryDisk {
  public vote: VoteRecord = { term: 0, votedFor: '' };

  public snapshot: Snapshot | undefined;

  public entries: readonly LogEntry[] = [];

  public identity: Identity;

  public constructor(incarnation: string = randomUUID()) {
    this.identity = { incarnation, founders: [], isFounded: false };
  }

  /** Stores entries; stored ones at or after the first one's index are replaced. */
  public append(entries: readonly LogEntry[]): void {
    const from = entries[0]!.index;
    this.entries = [...this.entries.filter(({ index }) => index < from), ...entries];
  }

  public read(): StoredState {
    const { identity, vote, snapshot, entries } = this;
    return { identity, vote, snapshot, entries };
  }

  /** Highest index that the disk holds, in the log or in the snapshot. */
  public get lastIndex(): number {
    return Math.max(this.snapshot?.index ?? 0, this.entries.at(-1)?.index ?? 0);
  }
}
