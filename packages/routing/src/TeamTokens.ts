/** Tokens of one team at a hub that does not hold the budgets: those granted in advance, and the demand for them. */
import type { TokenDecision, TokenGrant } from './TeamBuckets.js';

/**
 * Unused tokens lapse after this time. Any interval admits at most burst + rate x (length + this time), as the holder has
 * counted them before.
 */
export const TOKEN_LIFETIME_MS = 400;

/** A refusal of the holder is repeated for at most this long before the holder is asked again. */
const MAX_REFUSAL_MS = 150;

/** Demand is averaged over this time. */
const DEMAND_WINDOW_MS = 500;

const MS_PER_SECOND = 1_000;

interface Lot {
  count: number;
  readonly expiresAt: number;
}

/** What to order: for requests that wait, and for those that are expected. */
export interface OrderSize {
  readonly count: number;
  readonly ahead: number;
}

/** Times are monotonic ms. */
export class TeamTokens {
  private lots: readonly Lot[] = [];

  /** Requests a second at the time of the last one. */
  private demand = 0;

  private refusedUntil = 0;

  /** Requests that wait for a grant. */
  private waiting = 0;

  /** Tokens that were ordered and neither granted nor given up. */
  private ordered = 0;

  public constructor(private lastRequestAt: number) {}

  /** Decides on a new request. Undefined if it has to wait for a grant. */
  public take(now: number): TokenDecision | undefined {
    this.demand = this.demandAt(now) + MS_PER_SECOND / DEMAND_WINDOW_MS;
    this.lastRequestAt = now;
    const decision = this.decide(now);
    if (decision === undefined) this.waiting += 1;
    return decision;
  }

  /** Decides on a request that waits. Undefined if it has to wait on. */
  public retake(now: number): TokenDecision | undefined {
    const decision = this.decide(now);
    if (decision !== undefined) this.forgetWaiting();
    return decision;
  }

  /** Forgets a request that waited and was decided otherwise. */
  public forgetWaiting(): void {
    this.waiting = Math.max(0, this.waiting - 1);
  }

  /** What to order now, with tokens for the requests of the next `aheadMs`. Undefined for nothing. */
  public takeOrder(aheadMs: number, now: number): OrderSize | undefined {
    if (this.refusedUntil > now) return undefined;
    const expected = Math.floor((this.demandAt(now) * aheadMs) / MS_PER_SECOND);
    const held = this.level(now) + this.ordered;
    const count = Math.max(0, this.waiting - held);
    const ahead = Math.max(0, expected - Math.max(0, held - this.waiting));
    if (count + ahead === 0) return undefined;
    this.ordered += count + ahead;
    return { count, ahead };
  }

  /** Notes that an order is answered, or given up. */
  public closeOrder({ count, ahead }: OrderSize): void {
    this.ordered = Math.max(0, this.ordered - count - ahead);
  }

  public addGrant({ granted, retryAfterMs }: TokenGrant, now: number): void {
    const lot = { count: granted, expiresAt: now + TOKEN_LIFETIME_MS };
    if (granted > 0) this.lots = [...this.lots, lot];
    if (retryAfterMs > 0) this.refusedUntil = now + Math.min(retryAfterMs, MAX_REFUSAL_MS);
  }

  private decide(now: number): TokenDecision | undefined {
    if (this.spend(now)) return { kind: 'granted' };
    const refusedMs = this.refusedUntil - now;
    return refusedMs > 0 ? { kind: 'refused', retryAfterMs: refusedMs } : undefined;
  }

  private spend(now: number): boolean {
    this.lots = this.lots.filter(({ count, expiresAt }) => count > 0 && expiresAt > now);
    const [oldest] = this.lots;
    if (oldest === undefined) return false;
    oldest.count -= 1;
    return true;
  }

  private level(now: number): number {
    return this.lots
      .filter(({ expiresAt }) => expiresAt > now)
      .reduce((sum, { count }) => sum + count, 0);
  }

  private demandAt(now: number): number {
    return this.demand * Math.exp(-Math.max(0, now - this.lastRequestAt) / DEMAND_WINDOW_MS);
  }
}
