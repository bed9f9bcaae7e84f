/** Admission of a team's requests at one entry. */
import type { Team } from './plan.js';
import { TokenBucket } from './TokenBucket.js';
import { ISOLATED_RATE_FRACTION } from './TeamBuckets.js';

export type TeamDecision =
  /** Admitted after a wait, mostly none; the use is reported afterwards. */
  | { readonly kind: 'admitted'; readonly afterMs: number }
  /** The holder of the budgets must grant a token. */
  | { readonly kind: 'ask' }
  | { readonly kind: 'refused'; readonly retryAfterMs: number };

const ADMITTED = { kind: 'admitted', afterMs: 0 } as const;

/** After a refusal the entry refuses the team itself for as long as the holder says, at most this long. */
const MAX_LOCAL_REFUSAL_MS = 150;

/** How far an entry that decides alone uses its even share of the rate, and of the burst at the beginning. */
interface IsolatedShare {
  readonly rate: number;
  readonly start: number;
}

/** An entry that decides alone saves up this part of its even share of the burst, and no more tokens than that. */
const ISOLATED_BURST = 1.6;
const MAX_ISOLATED_TOKENS = 2;

/** The holder may have lent all tokens of a team that was short of them, and may still lend to others. */
const ISOLATED_TIGHT: IsolatedShare = { rate: 0.4, start: 0.2 };

/** At least half of the burst of the other teams was left when the holder was last heard. */
const ISOLATED_RELAXED: IsolatedShare = { rate: ISOLATED_RATE_FRACTION, start: 0.5 };

/**
 * With contact to the holder of the budgets, a team with enough tokens is admitted at once and a team short of tokens
 * asks for each request. Without contact, the entry keeps to its even share of the rate.
 */
export class TeamRateLimiter {
  private readonly tight = new Map<string, boolean>();

  private readonly refusedUntil = new Map<string, number>();

  private readonly local = new Map<string, TokenBucket>();

  /** Learns whether a team is short of tokens. */
  public setTight(team: string, isTight: boolean): void {
    this.tight.set(team, isTight);
    if (!isTight) this.refusedUntil.delete(team);
  }

  /** Learns that the holder refused a token. */
  public noteRefusal(team: string, retryAfterMs: number, now: number): void {
    this.refusedUntil.set(team, now + Math.min(retryAfterMs, MAX_LOCAL_REFUSAL_MS));
  }

  /** Decides on one request that may wait. `entries` is the number of entries that share the rate. */
  public decide(
    team: Team,
    hasHolder: boolean,
    entries: number,
    patienceMs: number,
    now: number,
  ): TeamDecision {
    if (team.ratePerSecond === 0) return ADMITTED;
    if (!hasHolder) return this.decideAlone(team, entries, patienceMs, now);
    this.capLocal(team, entries, now);
    const until = this.refusedUntil.get(team.name) ?? 0;
    if (until > now) return { kind: 'refused', retryAfterMs: until - now };
    return this.tight.get(team.name) === false ? ADMITTED : { kind: 'ask' };
  }

  /** Decides without the holder. */
  public decideAlone(
    team: Team,
    entries: number,
    patienceMs: number,
    now: number,
  ): Exclude<TeamDecision, { kind: 'ask' }> {
    const { rate, start } = this.isolatedShare(team, entries);
    const evenBurst = team.burst / Math.max(1, entries);
    const burst = Math.max(1, Math.min(MAX_ISOLATED_TOKENS, ISOLATED_BURST * evenBurst));
    const known = this.local.get(team.name);
    const bucket = known ?? new TokenBucket(rate, burst, start, now);
    this.local.set(team.name, bucket);
    bucket.configure(rate, burst, now);
    // Requests of a team within its rate come at random, and an even share is less than one token most of the time.
    const afterMs = bucket.reserve(patienceMs, now);
    if (afterMs !== undefined) return { kind: 'admitted', afterMs };
    return { kind: 'refused', retryAfterMs: bucket.waitMs(now) };
  }

  /** With a holder the own bucket only keeps what a time without it begins with, so that each such time adds little. */
  private capLocal(team: Team, entries: number, now: number): void {
    const { rate, start } = this.isolatedShare(team, entries);
    this.local.get(team.name)?.configure(rate, start, now);
  }

  /** Tokens a second, and tokens at the beginning. */
  private isolatedShare(team: Team, entries: number): IsolatedShare {
    const isRelaxed = this.tight.get(team.name) === false;
    const share = isRelaxed ? ISOLATED_RELAXED : ISOLATED_TIGHT;
    const part = 1 / Math.max(1, entries);
    return {
      rate: team.ratePerSecond * share.rate * part,
      start: team.burst * share.start * part,
    };
  }
}
