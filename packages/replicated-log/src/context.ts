/** Tuning and dependencies shared by the parts of a member. */
import type { Clock } from '@marigoldbank/base/clock';
import type { Random } from '@marigoldbank/base/random';
import {
  ELECTION_TIMEOUT_MAX_MS,
  ELECTION_TIMEOUT_MIN_MS,
  REMOVAL_NOTICE_MS,
  FIRST_ELECTION_TIMEOUT_MAX_MS,
  FIRST_ELECTION_TIMEOUT_MIN_MS,
  BOOTSTRAP_INTERVAL_MS,
  HEARTBEAT_INTERVAL_MS,
  MAX_BYTES_PER_APPEND,
  MAX_ENTRIES_PER_APPEND,
  RESEND_AFTER_MS,
  RETAINED_BYTES,
  RETAINED_ENTRIES,
  SNAPSHOT_CHUNK_BYTES,
  SNAPSHOT_EVERY_BYTES,
  SNAPSHOT_EVERY_ENTRIES,
} from './constants.js';
import type { Applier } from './Applier.js';
import type { ConsensusState } from './ConsensusState.js';
import type { ConsensusTransport } from './ConsensusTransport.js';
import type { DurableWriter } from './DurableWriter.js';
import type { SafetyRules } from './SafetyRules.js';

/** Timings in milliseconds and limits in entries or bytes. */
export interface Tuning {
  readonly heartbeatIntervalMs: number;
  readonly electionTimeoutMinMs: number;
  readonly electionTimeoutMaxMs: number;
  /** These two apply until the first message of a leader, for at most the longest election timeout after the start. */
  readonly firstElectionTimeoutMinMs: number;
  readonly firstElectionTimeoutMaxMs: number;
  readonly resendAfterMs: number;
  readonly bootstrapIntervalMs: number;
  readonly removalNoticeMs: number;
  readonly maxEntriesPerAppend: number;
  readonly maxBytesPerAppend: number;
  readonly snapshotChunkBytes: number;
  readonly snapshotEveryEntries: number;
  readonly snapshotEveryBytes: number;
  readonly retainedEntries: number;
  readonly retainedBytes: number;
}

export const DEFAULT_TUNING: Tuning = {
  heartbeatIntervalMs: HEARTBEAT_INTERVAL_MS,
  electionTimeoutMinMs: ELECTION_TIMEOUT_MIN_MS,
  electionTimeoutMaxMs: ELECTION_TIMEOUT_MAX_MS,
  firstElectionTimeoutMinMs: FIRST_ELECTION_TIMEOUT_MIN_MS,
  firstElectionTimeoutMaxMs: FIRST_ELECTION_TIMEOUT_MAX_MS,
  resendAfterMs: RESEND_AFTER_MS,
  bootstrapIntervalMs: BOOTSTRAP_INTERVAL_MS,
  removalNoticeMs: REMOVAL_NOTICE_MS,
  maxEntriesPerAppend: MAX_ENTRIES_PER_APPEND,
  maxBytesPerAppend: MAX_BYTES_PER_APPEND,
  snapshotChunkBytes: SNAPSHOT_CHUNK_BYTES,
  snapshotEveryEntries: SNAPSHOT_EVERY_ENTRIES,
  snapshotEveryBytes: SNAPSHOT_EVERY_BYTES,
  retainedEntries: RETAINED_ENTRIES,
  retainedBytes: RETAINED_BYTES,
};

/** Dependencies of every part of a member. */
export interface ConsensusContext {
  readonly state: ConsensusState;
  readonly writer: DurableWriter;
  readonly applier: Applier;
  readonly transport: ConsensusTransport;
  readonly clock: Clock;
  readonly random: Random;
  readonly tuning: Tuning;
  readonly rules: SafetyRules;
}
