/** Reports that a control VM receives and answers that it gives. */
import type { AuditRecord, Change, ChangeResult } from '@marigoldbank/fleet/changes';
import type { EntryRecord, FleetConfig } from '@marigoldbank/fleet/config';
import type { LogStatus } from '@marigoldbank/replicated-log';

/** Report of an entry, sent with each poll. */
export interface EntryReport {
  readonly entry: EntryRecord;
  readonly incarnation: string;
  readonly isDraining: boolean;
  /** Revision in force at the entry, 0 without configuration. */
  readonly revision: number;
  /** Whether the entry has no configuration that changes could be applied to. */
  readonly needsWholeConfig: boolean;
  /** Time and term in the last answer that the entry got from a leader; 0 if there was none. */
  readonly leaderTimeMs: number;
  readonly leaderTerm: number;
}

export interface NotLeader {
  readonly kind: 'notLeader';
  /** Internal address of the leader, if known. */
  readonly leaderAddress: string | undefined;
}

/** Update that brings the entry to the committed revision. */
export type ConfigUpdate =
  | { readonly kind: 'none' }
  | { readonly kind: 'changes'; readonly changes: readonly Change[] }
  | { readonly kind: 'config'; readonly config: FleetConfig };

export interface PollConfirmed {
  readonly kind: 'confirmed';
  readonly committedRevision: number;
  readonly acceptedRevision: number;
  readonly acceptedAgeMs: number;
  readonly update: ConfigUpdate;
  readonly currentEntries: readonly string[];
  readonly leaderTimeMs: number;
  readonly leaderTerm: number;
}

export type PollOutcome = PollConfirmed | NotLeader;

export type ProposalOutcome =
  | { readonly kind: 'recorded'; readonly result: ChangeResult; readonly revision: number }
  | { readonly kind: 'unknown' }
  | NotLeader;

export interface ChangeProgress {
  readonly kind: 'progress';
  readonly isAccepted: boolean;
  readonly entriesInForce: number;
  readonly entriesTotal: number;
  readonly missing: readonly string[];
}

export interface EntryState {
  readonly record: EntryRecord;
  readonly revision: number;
  readonly isCurrent: boolean;
  readonly isDraining: boolean;
  /** Undefined if the entry has not polled this leader. */
  readonly lastPollAgeMs: number | undefined;
}

export interface FleetStatus {
  readonly kind: 'status';
  readonly revision: number;
  readonly listsRevision: number;
  readonly acceptedRevision: number;
  readonly log: LogStatus;
  readonly entries: readonly EntryState[];
}

export interface AuditPage {
  readonly kind: 'page';
  readonly records: readonly AuditRecord[];
  readonly total: number;
}
