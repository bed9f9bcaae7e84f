/** Descriptions of changes, for the audit trail and for conflicts. */
import type { Change, ListsPatch } from './changes.js';

/** Keeps audit records small when a change touches thousands of teams. */
const MAX_DESCRIBED_PARTS = 20;

function describeRecord(name: string, patch: Record<string, unknown>): string[] {
  return Object.entries(patch).map(
    ([id, value]) => `${name} ${id} ${value === null ? 'removed' : 'set'}`,
  );
}

function describePatch(patch: ListsPatch): string {
  const parts = [
    ...describeRecord('team', patch.teams),
    ...describeRecord('plan', patch.plans),
    ...describeRecord('route', patch.routes),
    ...describeRecord('service', patch.services),
  ];
  const shown = parts.slice(0, MAX_DESCRIBED_PARTS);
  const rest = parts.length - shown.length;
  return rest > 0 ? `${shown.join(', ')} and ${rest} more` : shown.join(', ');
}

/** Describes a change in one line. */
export function describeChange(change: Change): string {
  switch (change.kind) {
    case 'applyLists':
      return 'lists applied';
    case 'patchLists':
      return describePatch(change.patch);
    case 'issueKey':
      return `key ${change.keyId} issued for team ${change.team}`;
    case 'withdrawKey':
      return `key ${change.keyId} withdrawn`;
    case 'addEntry':
      return `entry ${change.entry.vm} added`;
    case 'joinEntries':
      return `entries joined or moved: ${change.entries.map((entry) => entry.vm).join(', ')}`;
    case 'acceptView':
      return `view ${change.epoch} accepted`;
    case 'removeEntry':
      return `entry ${change.vm} removed`;
    case 'setEntryDraining':
      return `entry ${change.vm} ${change.isDraining ? 'drained' : 'undrained'}`;
    default:
      return 'unknown change';
  }
}
