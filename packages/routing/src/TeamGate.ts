/** Admission of a team's requests at one entry. */
import type { Team } from './plan.js';
import { RateBucket } from './RateBucket.js';

export type TeamDecision =
  /** Admitted; the use is reported afterwards. */
  | { readonly kind: 'admitted' }
  /** The holder of the budgets must grant a token. */
  | { readonly kind: 'ask' }
  | { readonly kind: 'refused'; readonly retryAfterMs: number };

/** After a refusal the entry refuses the team itself for as long as the holder says, at most this long. */
const MAX_LOCAL_REFUSAL_MS = 150;

/** Part of its even share that an entry without contact to the holder uses, since others may still be lent to. */
const ISOLATED_SHARE = 0.4;

/** Tokens at the start of such a time, as a part of the even share of the burst: the holder may have lent the rest. */
const ISOLATED_START = 0.2;

/**
 * With contact to the holder of the budgets, a team with enough tokens is admitted at once and a team short of tokens
 * asks for each request. Without contact, the entry keeps to its even share of the rate.
 */
export class TeamGate {
  private readonly tight = new Map<string, boolean>();

  private readonly refusedUntil = new Map<string, number>();

  private readonly local = new Map<string, RateBucket>();

  /** Learns whether a team is short of tokens. */
  public setTight(team: string, isTight: boolean): void {
    this.tight.set(team, isTight);
    if (!isTight) this.refusedUntil.delete(team);
  }

  /** Learns that the holder refused a token. */
  public noteRefusal(team: string, retryAfterMs: number, now: number): void {
    this.refusedUntil.set(team, now + Math.min(retryAfterMs, MAX_LOCAL_REFUSAL_MS));
  }

  /** Decides on one request. `entries` is the number of entries that share the rate. */
  public decide(team: Team, hasHolder: boolean, entries: number, now: number): TeamDecision {
    if (team.ratePerSecond === 0) return { kind: 'admitted' };
    if (!hasHolder) return this.decideAlone(team, entries, now);
    this.local.delete(team.name);
    const until = this.refusedUntil.get(team.name) ?? 0;
    if (until > now) return { kind: 'refused', retryAfterMs: until - now };
    return this.tight.get(team.name) === false ? { kind: 'admitted' } : { kind: 'ask' };
  }

  /** Decides without the holder. */
  public decideAlone(team: Team, entries: number, now: number): TeamDecision {
    const rate = (team.ratePerSecond * ISOLATED_SHARE) / Math.max(1, entries);
    const share = team.burst / Math.max(1, entries);
    const burst = Math.max(1, share);
    const known = this.local.get(team.name);
    const bucket = known ?? new RateBucket(rate, burst, share * ISOLATED_START, now);
    this.local.set(team.name, bucket);
    bucket.configure(rate, burst, now);
    if (bucket.tryTake(now)) return { kind: 'admitted' };
    return { kind: 'refused', retryAfterMs: bucket.waitMs(now) };
  }
}
