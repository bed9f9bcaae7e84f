/** Which stored entries continue a stored snapshot. */
import type { Snapshot } from './LogStorage.js';
import type { LogEntry } from './types.js';

/**
 * Entries that may be used together with the snapshot. A crash between installing a received snapshot and rewriting
 * the log leaves entries of another history; they do not hold the snapshot's last entry and are dropped.
 */
export function entriesContinuing(
  snapshot: Snapshot | undefined,
  entries: readonly LogEntry[],
): readonly LogEntry[] {
  const first = entries[0];
  if (snapshot === undefined || first === undefined) return entries;
  if (first.index > snapshot.index) return entries;
  const last = entries[snapshot.index - first.index];
  return last?.term === snapshot.term ? entries : [];
}
