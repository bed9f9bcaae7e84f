/** Team budgets at their holder: token buckets that entries draw on, reported or asked for. */
import type { Team } from './plan.js';

interface Bucket {
  rate: number;
  burst: number;
  level: number;
  updatedAt: number;
  isTight: boolean;
}

export type TokenDecision =
  | { readonly kind: 'granted' }
  | { readonly kind: 'refused'; readonly retryAfterMs: number };

/** Below this share of the burst each request needs a token; above, use is reported afterwards. */
const TIGHT_BELOW = 0.5;

/** A bucket leaves the tight mode only well above, so that it does not alternate. */
const RELAXED_ABOVE = 0.75;

/** Level of the buckets of a new holder, as a share of the burst: its predecessor may just have lent the rest. */
const INITIAL_SHARE = 0.3;

const MS_PER_SECOND = 1_000;

export class TeamBuckets {
  private readonly buckets = new Map<string, Bucket>();

  /** Adopts the teams of a plan; levels of known teams are kept, at most up to their new burst. */
  public configure(teams: readonly Team[], now: number): void {
    const limited = teams.filter(({ ratePerSecond }) => ratePerSecond > 0);
    const names = new Set(limited.map(({ name }) => name));
    [...this.buckets.keys()]
      .filter((name) => !names.has(name))
      .forEach((name) => this.buckets.delete(name));
    limited.forEach(({ name, ratePerSecond, burst }) => {
      const known = this.buckets.get(name);
      if (known === undefined) {
        const level = burst * INITIAL_SHARE;
        this.buckets.set(name, { rate: ratePerSecond, burst, level, updatedAt: now, isTight: true });
        return;
      }
      TeamBuckets.refill(known, now);
      known.rate = ratePerSecond;
      known.burst = burst;
      known.level = Math.min(known.level, burst);
    });
  }

  /** Forgets all levels; a holder that was replaced and returns begins like a new one. */
  public clear(): void {
    this.buckets.clear();
  }

  /** Takes tokens for requests that were admitted already. The level may become negative. */
  public report(team: string, admitted: number, now: number): void {
    const bucket = this.buckets.get(team);
    if (bucket === undefined) return;
    TeamBuckets.refill(bucket, now);
    bucket.level -= admitted;
  }

  /** Asks for one token. */
  public take(team: string, now: number): TokenDecision {
    const bucket = this.buckets.get(team);
    if (bucket === undefined) return { kind: 'granted' };
    TeamBuckets.refill(bucket, now);
    if (bucket.level >= 1) {
      bucket.level -= 1;
      return { kind: 'granted' };
    }
    const retryAfterMs = Math.ceil(((1 - bucket.level) / bucket.rate) * MS_PER_SECOND);
    return { kind: 'refused', retryAfterMs };
  }

  /** Teams whose mode has changed since the last call. */
  public takeModeChanges(now: number): { team: string; isTight: boolean }[] {
    return [...this.buckets].flatMap(([team, bucket]) => {
      TeamBuckets.refill(bucket, now);
      const limit = bucket.isTight ? RELAXED_ABOVE : TIGHT_BELOW;
      const isTight = bucket.level < bucket.burst * limit;
      if (isTight === bucket.isTight) return [];
      bucket.isTight = isTight;
      return [{ team, isTight }];
    });
  }

  /** Modes of all limited teams. */
  public modes(): { team: string; isTight: boolean }[] {
    return [...this.buckets].map(([team, { isTight }]) => ({ team, isTight }));
  }

  private static refill(bucket: Bucket, now: number): void {
    const gained = (bucket.rate * Math.max(0, now - bucket.updatedAt)) / MS_PER_SECOND;
    bucket.level = Math.min(bucket.burst, bucket.level + gained);
    bucket.updatedAt = now;
  }
}
