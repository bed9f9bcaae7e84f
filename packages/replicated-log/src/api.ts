/** Public API of the replicated log. */
import { ReplicatedLog, type ReplicatedLogOptions } from './ReplicatedLog.js';

export * from './types.js';
export { ConsensusTransport } from './ConsensusTransport.js';
export { StateMachine } from './StateMachine.js';
export { LogStorage } from './LogStorage.js';
export type { Identity, Snapshot, StoredState, VoteRecord } from './LogStorage.js';
export { FileLogStorage } from './FileLogStorage.js';
export { FullDiskError } from './FullDiskError.js';
export { StorageError, type StorageProblem } from './StorageError.js';
export { StoppedError } from './StoppedError.js';
export { entryBytes, transferMs } from './transferTime.js';
export type { Tuning } from './context.js';
export type { ReplicatedLog, ReplicatedLogOptions } from './ReplicatedLog.js';

/**
 * Opens the storage and starts a member. Rejects with `StorageError` if the durable state is damaged; a member in this
 * state must be wiped and added again as a learner.
 */
export function openReplicatedLog(options: ReplicatedLogOptions): Promise<ReplicatedLog> {
  return ReplicatedLog.open(options);
}
