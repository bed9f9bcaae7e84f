/** Durable state of one member. */
import type { LogEntry, Member, Membership } from './types.js';

/** Identity of a data folder. */
export interface Identity {
  /** Random id created when the folder is first opened. */
  readonly incarnation: string;
  /** Initial voters with their incarnations, which are empty until known. The list is empty for later members. */
  readonly founders: readonly Member[];
  /** Whether all founders are known to hold the same complete list. */
  readonly isFounded: boolean;
}

/** The current term and the candidate that this member voted for in it, an empty string for none. */
export interface VoteRecord {
  readonly term: number;
  readonly votedFor: string;
}

/** State of the state machine after applying the entry at `index`. */
export interface Snapshot {
  readonly index: number;
  readonly term: number;
  readonly membership: Membership;
  readonly data: Uint8Array;
}

/** State that is read when a storage is opened. */
export interface StoredState {
  readonly identity: Identity;
  readonly vote: VoteRecord;
  readonly snapshot: Snapshot | undefined;
  /** Contiguous entries; they may begin before the end of the snapshot. */
  readonly entries: readonly LogEntry[];
}

/**
 * Durable storage. Every promise resolves only when the write survives a crash. The caller waits for one write before
 * it starts the next. After a rejected write the storage must not be used any more, except that one rejected with
 * `FullDiskError` can be repeated.
 */
export abstract class LogStorage {
  /** Reads the state; the first time it creates a new incarnation. */
  public abstract open(): Promise<StoredState>;

  public abstract saveIdentity(identity: Identity): Promise<void>;

  public abstract saveVote(vote: VoteRecord): Promise<void>;

  /** Appends entries; entries stored at or after the first one's index are replaced. */
  public abstract append(entries: readonly LogEntry[]): Promise<void>;

  /** Saves a snapshot, then replaces the log by `retained`. */
  public abstract saveSnapshot(snapshot: Snapshot, retained: readonly LogEntry[]): Promise<void>;

  public abstract close(): Promise<void>;
}
