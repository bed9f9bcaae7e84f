/** Claims of one shard at one holder. */
import type { Clock } from '@marigoldbank/base/clock';
import { CLAIM_LIFETIME_MS, RELEASED_RETENTION_MS, RETENTION_MS } from './constants.js';
import { qualifiedKey } from './sharding.js';
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

/** A state replaces only states of a lower rank: released is final, and done can only become released. */
const STATE_RANK: Record<ClaimState, number> = { pending: 0, done: 1, released: 2 };

export class ClaimStore {
  /**
   * Claims by key. After a recovery a key can have several claims, of which it is not known which one a majority had
   * granted. All of them block the key.
   */
  private readonly claims = new Map<string, readonly StoredClaim[]>();

  public constructor(
    private readonly clock: Clock,
    private readonly budget: OutcomeBudget,
  ) {}

  public get keyCount(): number {
    return this.claims.size;
  }

  /** Finds the claim with the same id, in any state. */
  public find(record: ClaimRecord): ClaimRecord | undefined {
    return this.listLive(record).find((claim) => claim.record.claimId === record.claimId)?.record;
  }

  /** Finds a claim of another attempt that blocks the key, preferably one that is done. */
  public findBlocking(record: ClaimRecord): ClaimRecord | undefined {
    const blocking = this.listLive(record).filter(
      (claim) => claim.record.claimId !== record.claimId && claim.record.state !== 'released',
    );
    const first = blocking.find((claim) => claim.record.state === 'done') ?? blocking[0];
    return first === undefined ? undefined : this.toRecord(first);
  }

  /** Stores a claim or updates its state. A state is never replaced by one of a lower or equal rank. */
  public put(record: ClaimRecord): void {
    const storeKey = qualifiedKey(record.team, record.key);
    const others = this.listLive(record).filter((claim) => claim.record.claimId !== record.claimId);
    const known = this.listLive(record).find((claim) => claim.record.claimId === record.claimId);
    if (known !== undefined && STATE_RANK[known.record.state] >= STATE_RANK[record.state]) return;
    const now = this.clock.now();
    const createdAt = known?.createdAt ?? now - record.ageMs;
    const retentionMs = record.state === 'released' ? RELEASED_RETENTION_MS : RETENTION_MS;
    const expiresAt = record.state === 'released' ? now + retentionMs : createdAt + retentionMs;
    if (expiresAt <= now) return;
    this.claims.set(storeKey, [
      ...others,
      { record: this.chargeBudget(record), createdAt, expiresAt },
    ]);
  }

  /** Lists all unexpired claims with their current age. */
  public list(): ClaimRecord[] {
    const now = this.clock.now();
    return [...this.claims.values()]
      .flat()
      .filter((claim) => claim.expiresAt > now)
      .map((claim) => this.toRecord(claim));
  }

  /** Removes expired claims. */
  public sweep(): void {
    [...this.claims].forEach(([storeKey, claims]) => this.removeExpired(storeKey, claims));
  }

  private listLive(record: ClaimRecord): readonly StoredClaim[] {
    const storeKey = qualifiedKey(record.team, record.key);
    return this.removeExpired(storeKey, this.claims.get(storeKey) ?? []);
  }

  private removeExpired(storeKey: string, claims: readonly StoredClaim[]): readonly StoredClaim[] {
    const now = this.clock.now();
    if (claims.every((claim) => claim.expiresAt > now)) return claims;
    const live = claims.filter((claim) => claim.expiresAt > now);
    claims
      .filter((claim) => claim.expiresAt <= now)
      .forEach((claim) => this.releaseBudget(claim.record.outcome));
    if (live.length === 0) this.claims.delete(storeKey);
    else this.claims.set(storeKey, live);
    return live;
  }

  /** Deducts the outcome from the budget, or drops its content if the budget is used up. */
  private chargeBudget(record: ClaimRecord): ClaimRecord {
    const size = record.outcome?.byteLength ?? 0;
    if (size > this.budget.freeBytes) return { ...record, outcome: undefined };
    this.budget.freeBytes -= size;
    return record;
  }

  private releaseBudget(outcome: Uint8Array | undefined): void {
    this.budget.freeBytes += outcome?.byteLength ?? 0;
  }

  private toRecord(claim: StoredClaim): ClaimRecord {
    const ageMs = Math.min(CLAIM_LIFETIME_MS, this.clock.now() - claim.createdAt);
    return { ...claim.record, ageMs };
  }
}
