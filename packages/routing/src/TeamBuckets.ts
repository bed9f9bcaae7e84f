/**
 * Rate limits of teams at the budget holder, which is the hub that grants tokens to the entries. There is one token
 * bucket for each team. Entries report the tokens that they used, or ask for each token when a team is low on them.
 */
import { Random } from '@marigoldbank/base/random';
import { DemandShare, usualDemandOf } from './DemandShare.js';
import type { Team } from './plan.js';
import { TeamHistories, type TeamHistory } from './TeamHistories.js';
import { startTokensOf, type TeamTolerance } from './teamTolerance.js';
import { TokenBucket } from './TokenBucket.js';

export type TokenDecision =
  { readonly kind: 'granted' } | { readonly kind: 'refused'; readonly retryAfterMs: number };

/** Tokens that a hub orders: for requests that wait, and for those that it expects. */
export interface TokenOrder {
  readonly team: string;
  readonly count: number;
  readonly ahead: number;
}

export interface TokenGrant {
  readonly team: string;
  readonly granted: number;
  /** Time until the next token, 0 if no waiting request is left without one. */
  readonly retryAfterMs: number;
}

export interface TeamMode {
  readonly team: string;
  /** Whether the team is low on tokens, so that each of its requests needs one from the budget holder. */
  readonly isTight: boolean;
}

/** Below this fraction of the burst a team enters the tight mode, in which each request needs a token beforehand. */
const TIGHT_FILL_FRACTION = 0.5;

/** A bucket leaves the tight mode only above this fraction; the hysteresis keeps it from alternating. */
const RELAXED_FILL_FRACTION = 0.75;

/** Initial level at a new holder, as a fraction of the burst: the previous holder may just have granted the rest. */
const INITIAL_FILL_FRACTION = 0.3;

/** Initial level of teams that had at least half of their burst left, according to the previous holder. */
const INITIAL_RELAXED_FILL_FRACTION = 0.5;

/**
 * A hub or an entry without contact to the budget holder grants tokens at no more than this fraction of its even share
 * of a rate. The holder reserves as much for each entry that it has no contact with.
 */
export const ISOLATED_RATE_FRACTION = 0.9;

/** A holder whose part of a burst is smaller admits with a probability instead of from a bucket. */
const MIN_BUCKET_TOKENS = 2;

export interface BucketOptions {
  /** Fraction of all rates and bursts that this holder may grant, in (0, 1]. */
  readonly rateFraction: number;
  /** Whether other holders grant the rest, each on its own. */
  readonly isPart?: boolean;
  /** Whether a team was low on tokens according to the previous holder; undefined if unknown. */
  readonly wasTight: (team: string) => boolean | undefined;
  /** What teams may have beyond their rates, a part of which new buckets are filled with; undefined for nothing. */
  readonly tolerance?: TeamTolerance | undefined;
}

const DEFAULT_OPTIONS: BucketOptions = { rateFraction: 1, wasTight: () => undefined };

export class TeamBuckets {
  private readonly buckets = new Map<string, TokenBucket>();

  private readonly tightModes = new Map<string, boolean>();

  /** Parts of rates that are too small for buckets. */
  private readonly shares = new Map<string, DemandShare>();

  /** Undefined without a tolerance, and before the first plan. */
  private histories: TeamHistories | undefined;

  public constructor(private readonly random = new Random(1)) {}

  /** Applies the teams of a plan. Keeps the levels of known teams, capped at their new burst. */
  public configure(teams: readonly Team[], now: number, options = DEFAULT_OPTIONS): void {
    const limited = teams.filter(({ ratePerSecond }) => ratePerSecond > 0);
    const names = new Set(limited.map(({ name }) => name));
    [...this.buckets.keys(), ...this.shares.keys()]
      .filter((name) => !names.has(name))
      .forEach((name) => this.remove(name));
    this.configureHistories(limited, now, options);
    limited.forEach((team) => {
      const { name } = team;
      const rate = team.ratePerSecond * options.rateFraction;
      const burst = team.burst * options.rateFraction;
      if (options.isPart === true && burst < MIN_BUCKET_TOKENS) {
        this.buckets.delete(name);
        this.configureShare(name, rate, options.wasTight(name) === false, now);
        return;
      }
      this.shares.delete(name);
      const known = this.buckets.get(name);
      if (known !== undefined) {
        known.configure(rate, burst, now);
        return;
      }
      const isRelaxed = options.wasTight(name) === false;
      const filled = burst * (isRelaxed ? INITIAL_RELAXED_FILL_FRACTION : INITIAL_FILL_FRACTION);
      const tolerated =
        options.tolerance === undefined
          ? 0
          : startTokensOf(team, options.tolerance) * options.rateFraction;
      const level = Math.min(burst, Math.max(filled, tolerated));
      this.buckets.set(name, new TokenBucket(rate, burst, level, now));
      this.tightModes.set(name, true);
    });
  }

  /** Removes all buckets, so that a holder that was replaced and takes over again starts like a new one. */
  public clear(): void {
    this.buckets.clear();
    this.shares.clear();
    this.tightModes.clear();
    this.histories = undefined;
  }

  /** Adds what entries admitted before they knew of this holder. Nothing is added if it has granted for long. */
  public addHistory(history: TeamHistory, now: number): void {
    if (this.histories?.isCurrent(now) === true) this.histories.addHistory(history, now);
  }

  /** Adds what a holder before this one granted. Nothing is added if this one has granted for long. */
  public addGranted(history: TeamHistory, now: number): void {
    if (this.histories?.isCurrent(now) === true) this.histories.addGranted(history, now);
  }

  /** What this holder and those before it granted lately, if it has started a short time ago. */
  public recentGrants(now: number): TeamHistory[] {
    return this.histories?.isCurrent(now) === true ? this.histories.grants(now) : [];
  }

  /** Deducts tokens for requests that entries have already admitted. Adds tokens if `used` is below 0. */
  public charge(team: string, used: number, now: number): void {
    this.buckets.get(team)?.charge(used, now);
    this.shares.get(team)?.charge(used, now);
    this.histories?.add(team, used, now);
  }

  /** Takes one token, or says when the next one is available. */
  public take(team: string, now: number): TokenDecision {
    const { histories } = this;
    if (histories !== undefined && histories.room(team, now) < 1) {
      return { kind: 'refused', retryAfterMs: histories.waitMs(team, now) };
    }
    const decision = this.takeToken(team, now);
    if (decision.kind === 'granted') histories?.add(team, 1, now);
    return decision;
  }

  /** Takes tokens that another hub orders. `retryAfterMs` is the time until the next one if not all waiting requests get one. */
  public takeOrder({ team, count, ahead }: TokenOrder, now: number): TokenGrant {
    const bucket = this.buckets.get(team);
    if (bucket === undefined) return { team, granted: count + ahead, retryAfterMs: 0 };
    const room = this.histories?.room(team, now) ?? Infinity;
    const granted = bucket.takeUpTo(
      Math.min(count, room),
      Math.min(ahead, Math.max(0, room - count)),
      now,
    );
    this.histories?.add(team, granted, now);
    if (granted >= count) return { team, granted, retryAfterMs: 0 };
    const waitMs = granted < room ? bucket.waitMs(now) : this.histories?.waitMs(team, now);
    return { team, granted, retryAfterMs: Math.max(1, waitMs ?? 1) };
  }

  private takeToken(team: string, now: number): TokenDecision {
    const share = this.shares.get(team);
    if (share !== undefined) {
      return share.admits(now)
        ? { kind: 'granted' }
        : { kind: 'refused', retryAfterMs: share.retryAfterMs };
    }
    const bucket = this.buckets.get(team);
    if (bucket === undefined || bucket.tryTake(now)) return { kind: 'granted' };
    return { kind: 'refused', retryAfterMs: bucket.waitMs(now) };
  }

  /** Returns the teams whose mode has changed since the last call. */
  public takeModeChanges(now: number): TeamMode[] {
    const changed = [...this.buckets].flatMap(([team, bucket]) => {
      const wasTight = this.tightModes.get(team) === true;
      const isLow =
        bucket.fillFraction(now) < (wasTight ? RELAXED_FILL_FRACTION : TIGHT_FILL_FRACTION);
      const isTight = isLow || this.histories?.isTight(team, now) === true;
      return isTight === wasTight ? [] : [{ team, isTight }];
    });
    changed.forEach(({ team, isTight }) => this.tightModes.set(team, isTight));
    return changed;
  }

  /** Modes of all limited teams. */
  public modes(): TeamMode[] {
    return [...this.tightModes].map(([team, isTight]) => ({ team, isTight }));
  }

  private configureHistories(
    teams: readonly Team[],
    now: number,
    { rateFraction, tolerance }: BucketOptions,
  ): void {
    if (tolerance === undefined) {
      this.histories = undefined;
      return;
    }
    this.histories ??= new TeamHistories(tolerance, now);
    this.histories.configure(teams, rateFraction);
  }

  private configureShare(name: string, rate: number, isRelaxed: boolean, now: number): void {
    const options = {
      perSecond: rate,
      usualDemand: usualDemandOf(isRelaxed),
    };
    const known = this.shares.get(name);
    if (known !== undefined) {
      known.configure(options);
      return;
    }
    this.shares.set(name, new DemandShare(this.random, options, now));
    this.tightModes.set(name, true);
  }

  private remove(name: string): void {
    this.buckets.delete(name);
    this.shares.delete(name);
    this.tightModes.delete(name);
  }
}
