/** Check of stored entries against the stored snapshot. */
import type { Snapshot } from './LogStorage.js';
import type { LogEntry } from './types.js';

/**
 * Returns the entries if they can be used together with the snapshot, otherwise none. A crash between the installation
 * of a received snapshot and the rewriting of the log leaves entries of a diverging log; they do not contain the
 * snapshot's last entry and are dropped.
 */
export function entriesMatchingSnapshot(
  snapshot: Snapshot | undefined,
  entries: readonly LogEntry[],
): readonly LogEntry[] {
  const first = entries[0];
  if (snapshot === undefined || first === undefined) return entries;
  if (first.index > snapshot.index) return entries;
  const last = entries[snapshot.index - first.index];
  return last?.term === snapshot.term ? entries : [];
}
