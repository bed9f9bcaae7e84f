import type { HubCandidate } from './HubCandidate.js';

/** A hub has room for further entries while it has fewer than this multiple of the mean of all hubs. */
const MAX_LOAD = 1.25;

/** Number of entries from which on a hub has no room for further ones, if these are all hubs. */
export function maxEntriesOf(hubs: readonly Pick<HubCandidate, 'entries'>[]): number {
  const total = hubs.reduce((sum, { entries }) => sum + entries, 0);
  return Math.ceil((MAX_LOAD * (total + 1)) / Math.max(1, hubs.length));
}
