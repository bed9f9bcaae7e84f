/** Claims of one shard at one holder. */
import type { Clock } from '@marigoldbank/base/clock';
import { CLAIM_LIFETIME_MS, RELEASED_RETENTION_MS, RETENTION_MS } from './constants.js';
import { joinKey } from './sharding.js';
import type { ClaimRecord, ClaimState } from './types.js';

interface StoredClaim {
  readonly record: ClaimRecord;
  readonly createdAt: number;
  readonly expiresAt: number;
}

/** Bytes of outcomes that may still be stored, shared by the shards of a holder. */
export interface OutcomeBudget {
  freeBytes: number;
}

/** What is known last about a claim: released and done are final, pending is not. */
const STATE_RANK: Record<ClaimState, number> = { pending: 0, done: 1, released: 2 };

export class ClaimStore {
  /**
   * Several claims of one key occur after a recovery, when it is not known which of them was owned. All of them block
   * the key.
   */
  private readonly claims = new Map<string, readonly StoredClaim[]>();

  public constructor(
    private readonly clock: Clock,
    private readonly budget: OutcomeBudget,
  ) {}

  public get keyCount(): number {
    return this.claims.size;
  }

  /** The claim with the same id, in whatever state. */
  public find(record: ClaimRecord): ClaimRecord | undefined {
    return this.live(record).find((claim) => claim.record.claimId === record.claimId)?.record;
  }

  /** A claim of another attempt that blocks the key; one that is done first. */
  public findBlocking(record: ClaimRecord): ClaimRecord | undefined {
    const blocking = this.live(record).filter(
      (claim) => claim.record.claimId !== record.claimId && claim.record.state !== 'released',
    );
    const first = blocking.find((claim) => claim.record.state === 'done') ?? blocking[0];
    return first === undefined ? undefined : this.export(first);
  }

  /** Stores a claim, or what is newly known about it. Never goes back from a final state. */
  public put(record: ClaimRecord): void {
    const name = joinKey(record.team, record.key);
    const others = this.live(record).filter((claim) => claim.record.claimId !== record.claimId);
    const known = this.live(record).find((claim) => claim.record.claimId === record.claimId);
    if (known !== undefined && STATE_RANK[known.record.state] >= STATE_RANK[record.state]) return;
    const now = this.clock.now();
    const createdAt = known?.createdAt ?? now - record.ageMs;
    const retentionMs = record.state === 'released' ? RELEASED_RETENTION_MS : RETENTION_MS;
    const expiresAt = record.state === 'released' ? now + retentionMs : createdAt + retentionMs;
    if (expiresAt <= now) return;
    this.claims.set(name, [...others, { record: this.admit(record), createdAt, expiresAt }]);
  }

  /** All claims, with their present age. */
  public list(): ClaimRecord[] {
    const now = this.clock.now();
    return [...this.claims.values()]
      .flat()
      .filter((claim) => claim.expiresAt > now)
      .map((claim) => this.export(claim));
  }

  /** Removes expired claims. */
  public sweep(): void {
    [...this.claims].forEach(([name, claims]) => this.keepLive(name, claims));
  }

  private live(record: ClaimRecord): readonly StoredClaim[] {
    const name = joinKey(record.team, record.key);
    return this.keepLive(name, this.claims.get(name) ?? []);
  }

  private keepLive(name: string, claims: readonly StoredClaim[]): readonly StoredClaim[] {
    const now = this.clock.now();
    if (claims.every((claim) => claim.expiresAt > now)) return claims;
    const live = claims.filter((claim) => claim.expiresAt > now);
    claims
      .filter((claim) => claim.expiresAt <= now)
      .forEach((claim) => this.free(claim.record.outcome));
    if (live.length === 0) this.claims.delete(name);
    else this.claims.set(name, live);
    return live;
  }

  /** Leaves the content out when the space for outcomes is used up. */
  private admit(record: ClaimRecord): ClaimRecord {
    const size = record.outcome?.byteLength ?? 0;
    if (size > this.budget.freeBytes) return { ...record, outcome: undefined };
    this.budget.freeBytes -= size;
    return record;
  }

  private free(outcome: Uint8Array | undefined): void {
    this.budget.freeBytes += outcome?.byteLength ?? 0;
  }

  private export(claim: StoredClaim): ClaimRecord {
    const ageMs = Math.min(CLAIM_LIFETIME_MS, this.clock.now() - claim.createdAt);
    return { ...claim.record, ageMs };
  }
}
