/** Assignment of claims to shards and of shards to holders, and quorum sizes. */
import { createHash } from 'node:crypto';
import { rankAcrossDataCentres } from '@marigoldbank/base/rendezvous';
import { HOLDER_COUNT, SHARD_COUNT } from './constants.js';
import type { ClaimView } from './types.js';

/** Combines a team and its idempotency key into a key that is unique across teams. */
export function qualifiedKey(team: string, key: string): string {
  return `${team}\u0000${key}`;
}

export function shardOf(team: string, key: string): number {
  return createHash('sha256').update(qualifiedKey(team, key)).digest().readUInt32BE() % SHARD_COUNT;
}

function rankHolders(view: ClaimView, shard: number): readonly string[] {
  return rankAcrossDataCentres(`claims/${shard}`, view.entries)
    .slice(0, HOLDER_COUNT)
    .map((entry) => entry.vm);
}

/** Cache: ranking hashes every entry, so the holders of a shard are computed once for each view. */
const holdersByView = new WeakMap<ClaimView, Map<number, readonly string[]>>();

/** VMs that hold the claims of a shard. */
export function holdersOf(view: ClaimView, shard: number): readonly string[] {
  const byShard = holdersByView.get(view) ?? new Map<number, readonly string[]>();
  holdersByView.set(view, byShard);
  const holders = byShard.get(shard) ?? rankHolders(view, shard);
  byShard.set(shard, holders);
  return holders;
}

export function majorityOf(holderCount: number): number {
  return Math.floor(holderCount / 2) + 1;
}

/**
 * Number of other holders that a restarted holder must read from, so that they intersect every majority that included
 * its earlier incarnation. For five holders these are three of the other four.
 */
export function recoveryQuorumOf(holderCount: number): number {
  return holderCount - majorityOf(holderCount) + 1;
}
