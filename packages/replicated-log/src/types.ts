/** Public types of the replicated log. */

/** A voter or learner: a VM together with the incarnation of its data folder. */
export interface Member {
  readonly vm: string;
  readonly incarnation: string;
  /** Internal address, `ip:port`. */
  readonly address: string;
}

/** Voters and learners at some index of the log. */
export interface Membership {
  readonly voters: readonly Member[];
  readonly learners: readonly Member[];
}

/** `noop` is written by a new leader, `membership` sets voters and learners, `command` goes to the state machine. */
export type LogEntryKind = 'noop' | 'membership' | 'command';

export interface LogEntry {
  readonly index: number;
  readonly term: number;
  readonly kind: LogEntryKind;
  readonly data: Uint8Array;
}

export interface RequestVoteRequest {
  readonly candidate: Member;
  readonly term: number;
  readonly lastIndex: number;
  readonly lastTerm: number;
  readonly isPreVote: boolean;
  /** Incarnation that the sender addresses; a member with another one refuses. */
  readonly toIncarnation: string;
}

export interface RequestVoteResponse {
  readonly term: number;
  readonly granted: boolean;
}

export interface AppendEntriesRequest {
  readonly leader: Member;
  readonly term: number;
  readonly previousIndex: number;
  readonly previousTerm: number;
  readonly entries: readonly LogEntry[];
  readonly commitIndex: number;
  readonly toIncarnation: string;
}

export interface AppendEntriesResponse {
  readonly term: number;
  readonly success: boolean;
  /** Highest matching index, or after a mismatch the index after which the leader continues. */
  readonly matchIndex: number;
}

export interface InstallSnapshotRequest {
  readonly leader: Member;
  readonly term: number;
  readonly lastIndex: number;
  readonly lastTerm: number;
  readonly membership: Membership;
  readonly offset: number;
  readonly chunk: Uint8Array;
  readonly isLast: boolean;
  readonly toIncarnation: string;
}

export interface InstallSnapshotResponse {
  readonly term: number;
  readonly success: boolean;
}

/** Outcome of a proposal. */
export type ProposeOutcome =
  | { readonly kind: 'committed'; readonly index: number; readonly result: Uint8Array }
  | { readonly kind: 'notLeader'; readonly leader: Member | undefined }
  /** Leadership was lost while waiting: the command may or may not be committed. */
  | { readonly kind: 'unknown' };

/** Outcome of a confirmed read: the state applied up to `index` reflects every change committed before the call. */
export type ReadOutcome =
  | { readonly kind: 'confirmed'; readonly index: number }
  | { readonly kind: 'notLeader'; readonly leader: Member | undefined };

/** Outcome of a change of membership. */
export type MembershipOutcome =
  | { readonly kind: 'committed'; readonly membership: Membership }
  | { readonly kind: 'notLeader'; readonly leader: Member | undefined }
  | { readonly kind: 'rejected'; readonly reason: string }
  | { readonly kind: 'unknown' };

export interface MemberProgress {
  readonly member: Member;
  readonly isLearner: boolean;
  readonly matchIndex: number;
  /** Monotonic ms of the last answer, undefined if none came. */
  readonly lastContactAt: number | undefined;
}

export interface LogStatus {
  readonly self: Member;
  readonly role: 'follower' | 'preCandidate' | 'candidate' | 'leader';
  readonly term: number;
  readonly commitIndex: number;
  readonly lastIndex: number;
  readonly leader: Member | undefined;
  readonly membership: Membership;
  /** Filled at the leader only. */
  readonly progress: readonly MemberProgress[];
}

/** Size of the log that a member keeps in memory and on its disk. */
export interface LogSize {
  readonly entries: number;
  /** Bytes of data in the entries. */
  readonly entryBytes: number;
  /** Bytes of state in the latest snapshot. */
  readonly snapshotBytes: number;
}

/** A state of the log that was the newest one at some time. */
export interface ConfirmedState {
  /** Nothing after this index was committed by `at`. */
  readonly index: number;
  /** Monotonic ms. */
  readonly at: number;
}

/** The end of the log of one member, whether it is committed or not. */
export interface StoredLog {
  readonly lastTerm: number;
  readonly lastIndex: number;
  /** Entries after the index that was asked for, as far as they are still in the log. */
  readonly entries: readonly LogEntry[];
}

/** The replicated log as its embedder sees it. */
export interface IReplicatedLog {
  propose(data: Uint8Array): Promise<ProposeOutcome>;
  confirmRead(): Promise<ReadOutcome>;
  /** As `confirmRead`, but takes up to a heartbeat interval longer and sends no messages of its own. */
  confirmReadByHeartbeat(): Promise<ReadOutcome>;
  /**
   * The newest state that the answers to earlier messages confirm, undefined unless this member leads. Older than that of
   * `confirmRead` by up to a heartbeat interval, but free of messages.
   */
  confirmedState(): ConfirmedState | undefined;
  addLearner(member: Member): Promise<MembershipOutcome>;
  /** Rejected unless the learner's log holds everything committed. */
  promoteLearner(vm: string): Promise<MembershipOutcome>;
  removeMember(vm: string, incarnation: string): Promise<MembershipOutcome>;
  handleRequestVote(req: RequestVoteRequest): Promise<RequestVoteResponse>;
  handleAppendEntries(req: AppendEntriesRequest): Promise<AppendEntriesResponse>;
  handleInstallSnapshot(req: InstallSnapshotRequest): Promise<InstallSnapshotResponse>;
  status(): LogStatus;
  /**
   * What this member has stored after an index. What a majority of the voters has committed is in the log of each of them
   * that has the newest one among any majority, so that answers of a majority tell it without a leader.
   */
  storedAfter(index: number): StoredLog;
  /** Stops timers and closes the storage after pending writes. */
  close(): Promise<void>;
}
