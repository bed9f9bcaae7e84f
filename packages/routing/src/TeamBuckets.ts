/** Team budgets at their holder: token buckets that entries draw on, reported or asked for. */
import type { Team } from './plan.js';
import { TokenBucket } from './TokenBucket.js';

export type TokenDecision =
  { readonly kind: 'granted' } | { readonly kind: 'refused'; readonly retryAfterMs: number };

export interface TeamMode {
  readonly team: string;
  /** Whether each request needs a token. */
  readonly isTight: boolean;
}

/** Below this share of the burst each request needs a token; above, use is reported afterwards. */
const TIGHT_BELOW = 0.5;

/** A bucket leaves the tight mode only well above, so that it does not alternate. */
const RELAXED_ABOVE = 0.75;

/** Level of the buckets of a new holder, as a share of the burst: its predecessor may just have lent the rest. */
const INITIAL_SHARE = 0.3;

/** The same for teams that had at least half of their burst left, as the predecessor said last. */
const INITIAL_RELAXED_SHARE = 0.5;

/**
 * A hub or an entry that the holder does not reach lends on by itself at this part of its even share of a rate. The
 * holder keeps as much back for each entry that it misses.
 */
export const ISOLATED_RATE_FRACTION = 0.9;

/** How a holder begins with a team, and which part of the rates is its own. */
export interface BucketOptions {
  /** Part of all rates and bursts that this holder lends, in (0, 1]. */
  readonly rateFraction: number;
  /** Whether a team was short of tokens, as the last holder said; undefined if nothing is known. */
  readonly wasTight: (team: string) => boolean | undefined;
}

const WHOLE: BucketOptions = { rateFraction: 1, wasTight: () => undefined };

export class TeamBuckets {
  private readonly buckets = new Map<string, TokenBucket>();

  private readonly tight = new Map<string, boolean>();

  /** Adopts the teams of a plan; levels of known teams are kept, at most up to their new burst. */
  public configure(teams: readonly Team[], now: number, holding = WHOLE): void {
    const limited = teams.filter(({ ratePerSecond }) => ratePerSecond > 0);
    const names = new Set(limited.map(({ name }) => name));
    [...this.buckets.keys()]
      .filter((name) => !names.has(name))
      .forEach((name) => this.remove(name));
    limited.forEach((team) => {
      const { name } = team;
      const rate = team.ratePerSecond * holding.rateFraction;
      const burst = team.burst * holding.rateFraction;
      const known = this.buckets.get(name);
      if (known !== undefined) {
        known.configure(rate, burst, now);
        return;
      }
      const isRelaxed = holding.wasTight(name) === false;
      const level = burst * (isRelaxed ? INITIAL_RELAXED_SHARE : INITIAL_SHARE);
      this.buckets.set(name, new TokenBucket(rate, burst, level, now));
      this.tight.set(name, true);
    });
  }

  /** Forgets all levels; a holder that was replaced and returns begins like a new one. */
  public clear(): void {
    this.buckets.clear();
    this.tight.clear();
  }

  /** Takes tokens for requests that were admitted already. */
  public charge(team: string, admitted: number, now: number): void {
    this.buckets.get(team)?.charge(admitted, now);
  }

  /** Asks for one token. */
  public take(team: string, now: number): TokenDecision {
    const bucket = this.buckets.get(team);
    if (bucket === undefined || bucket.tryTake(now)) return { kind: 'granted' };
    return { kind: 'refused', retryAfterMs: bucket.waitMs(now) };
  }

  /** Teams whose mode has changed since the last call. */
  public takeModeChanges(now: number): TeamMode[] {
    const changed = [...this.buckets].flatMap(([team, bucket]) => {
      const wasTight = this.tight.get(team) === true;
      const isTight = bucket.fillFraction(now) < (wasTight ? RELAXED_ABOVE : TIGHT_BELOW);
      return isTight === wasTight ? [] : [{ team, isTight }];
    });
    changed.forEach(({ team, isTight }) => this.tight.set(team, isTight));
    return changed;
  }

  /** Modes of all limited teams. */
  public modes(): TeamMode[] {
    return [...this.tight].map(([team, isTight]) => ({ team, isTight }));
  }

  private remove(name: string): void {
    this.buckets.delete(name);
    this.tight.delete(name);
  }
}
