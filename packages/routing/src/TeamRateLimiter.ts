/** Rate limiting of teams at one entry. */
import { Random } from '@marigoldbank/base/random';
import { DemandShare, usualDemandOf } from './DemandShare.js';
import type { Team } from './plan.js';
import { SlidingCount } from './SlidingCount.js';
import { ISOLATED_RATE_FRACTION } from './TeamBuckets.js';
import type { TeamHistory } from './TeamHistories.js';
import { isolatedLimitOf, type TeamTolerance } from './teamTolerance.js';
import { TokenBucket } from './TokenBucket.js';

export type TeamDecision =
  /** Admitted after `afterMs`, which is usually 0. The use is reported to the budget holder afterwards. */
  | { readonly kind: 'admitted'; readonly afterMs: number }
  /** The budget holder must be asked for a token. */
  | { readonly kind: 'ask' }
  | { readonly kind: 'refused'; readonly retryAfterMs: number };

const ADMITTED = { kind: 'admitted', afterMs: 0 } as const;

/** Maximum time for which the entry repeats a refusal of the budget holder without asking again. */
const MAX_LOCAL_REFUSAL_MS = 150;

/**
 * Limits of an entry that decides without the budget holder: as fractions of its even share of rate and burst, or as
 * tokens per second and tokens.
 */
interface IsolatedLimits {
  readonly rate: number;
  readonly initialLevel: number;
}

/** Requests of a team that this entry admitted lately. */
interface AdmittedHistory {
  readonly count: SlidingCount;
  /** In [0, 1): the fractions of the even shares add up over the entries when each adds this before it rounds down. */
  readonly rounding: number;
}

/** Time to come back after a refusal by the history: other entries or the holder may admit the request sooner. */
const MAX_HISTORY_RETRY_MS = 1_000;

/** An entry whose even share of the burst is smaller admits with a probability instead of from a bucket. */
const MIN_BUCKET_TOKENS = 1;

/** Burst of an entry that decides locally, as a multiple of its even share: at least 1 token, at most the maximum. */
const ISOLATED_BURST_MULTIPLE = 1.6;
const MAX_ISOLATED_TOKENS = 2;

/**
 * For teams that are low on tokens or whose mode is unknown: the budget holder may have granted all tokens, and may
 * still grant some to other entries.
 */
const ISOLATED_TIGHT_FRACTIONS: IsolatedLimits = { rate: 0.4, initialLevel: 0.2 };

/** For all other teams: at least half of their burst was left at the last contact with the budget holder. */
const ISOLATED_RELAXED_FRACTIONS: IsolatedLimits = {
  rate: ISOLATED_RATE_FRACTION,
  initialLevel: 0.5,
};

/**
 * While the budget holder is reachable, requests of a team with enough tokens are admitted at once, within the even share
 * of this entry if teams have a tolerance. All others need a token from the holder. Without the holder, the entry limits
 * each team to a part of its even share of the rate.
 */
export class TeamRateLimiter {
  private readonly tightModes = new Map<string, boolean>();

  private readonly refusedUntil = new Map<string, number>();

  private readonly localBuckets = new Map<string, TokenBucket>();

  private readonly localShares = new Map<string, DemandShare>();

  private readonly histories = new Map<string, AdmittedHistory>();

  /** `tolerance` is what teams may have beyond their rates, over all entries; undefined for nothing. */
  public constructor(
    private readonly random = new Random(1),
    private readonly tolerance: () => TeamTolerance | undefined = () => undefined,
  ) {}

  /** Sets whether a team is low on tokens, so that each of its requests needs one from the budget holder. */
  public setTight(team: string, isTight: boolean): void {
    this.tightModes.set(team, isTight);
    if (!isTight) this.refusedUntil.delete(team);
  }

  /** Records that the budget holder refused a token. */
  public recordRefusal(team: string, retryAfterMs: number, now: number): void {
    this.refusedUntil.set(team, now + Math.min(retryAfterMs, MAX_LOCAL_REFUSAL_MS));
  }

  /** Whether teams may have more than their rates in some windows, so that histories are kept. */
  public get hasTolerance(): boolean {
    return this.tolerance() !== undefined;
  }

  /** Counts a request that was admitted, by this entry or with a token; below 0 for one that was not run. */
  public countAdmitted(team: string, admitted: number, now: number): void {
    const tolerance = this.tolerance();
    if (tolerance === undefined) {
      this.histories.clear();
      return;
    }
    this.historyOf(team, tolerance).count.add(admitted, now);
  }

  /** What was admitted lately, for a new budget holder. */
  public recentHistories(now: number): TeamHistory[] {
    return [...this.histories]
      .filter(([, { count }]) => count.total(now) > 0)
      .map(([team, { count }]) => ({ team, admitted: count.recent(now) }));
  }

  /** The team with the most requests admitted here in the last window, for logs. */
  public mostAdmitted(now: number): { readonly team?: string; readonly admitted?: number } {
    return [...this.histories]
      .map(([team, { count }]) => ({ team, admitted: count.total(now) }))
      .reduce<{ team?: string; admitted?: number }>(
        (most, item) => (item.admitted > (most.admitted ?? 0) ? item : most),
        {},
      );
  }

  /**
   * Decides on one request that can wait up to `maxWaitMs`. `hasHolder` says whether the budget holder is reachable,
   * and `entryCount` entries share the rate.
   */
  public decide(
    team: Team,
    hasHolder: boolean,
    entryCount: number,
    maxWaitMs: number,
    now: number,
  ): TeamDecision {
    if (team.ratePerSecond === 0) return ADMITTED;
    if (!hasHolder) return this.decideLocally(team, entryCount, maxWaitMs, now);
    this.capLocalBucket(team, entryCount, now);
    this.localShares.delete(team.name);
    const until = this.refusedUntil.get(team.name) ?? 0;
    if (until > now) return { kind: 'refused', retryAfterMs: until - now };
    const isRelaxed = this.tightModes.get(team.name) === false;
    return isRelaxed && this.isWithinEvenShare(team, entryCount, now) ? ADMITTED : { kind: 'ask' };
  }

  /** Decides without the budget holder, within the limits of an isolated entry. */
  public decideLocally(
    team: Team,
    entryCount: number,
    maxWaitMs: number,
    now: number,
  ): Exclude<TeamDecision, { kind: 'ask' }> {
    const tolerance = this.tolerance();
    if (tolerance !== undefined) {
      const evenLimit = isolatedLimitOf(team, tolerance) / Math.max(1, entryCount);
      if (evenLimit >= 1) return this.decideByHistory(team, evenLimit, tolerance, now);
    }
    const { rate, initialLevel } = this.isolatedLimits(team, entryCount);
    const evenBurst = team.burst / Math.max(1, entryCount);
    if (evenBurst < MIN_BUCKET_TOKENS) return this.decideByShare(team, entryCount, now);
    const burst = Math.max(1, Math.min(MAX_ISOLATED_TOKENS, ISOLATED_BURST_MULTIPLE * evenBurst));
    const known = this.localBuckets.get(team.name);
    const bucket = known ?? new TokenBucket(rate, burst, initialLevel, now);
    this.localBuckets.set(team.name, bucket);
    bucket.configure(rate, burst, now);
    // Requests arrive at random and the bucket often holds less than one token, so that a short wait avoids refusals of
    // teams that keep to their rate.
    const afterMs = bucket.reserve(maxWaitMs, now);
    if (afterMs !== undefined) return { kind: 'admitted', afterMs };
    return { kind: 'refused', retryAfterMs: bucket.waitMs(now) };
  }

  /** Returns the token of a request that was admitted locally and not run. */
  public returnLocally(team: string, now: number): void {
    this.localBuckets.get(team)?.charge(-1, now);
    this.localShares.get(team)?.charge(-1, now);
  }

  /**
   * Admits up to the even share of what all entries may admit in any window, whoever admitted the earlier requests. So the
   * limit of the team holds without knowledge of other entries, also for a team that sends many times its usual.
   */
  private decideByHistory(
    team: Team,
    evenLimit: number,
    tolerance: TeamTolerance,
    now: number,
  ): Exclude<TeamDecision, { kind: 'ask' }> {
    if (this.hasRoom(team.name, evenLimit, tolerance, now)) return ADMITTED;
    const { count } = this.historyOf(team.name, tolerance);
    const retryAfterMs = Math.min(MAX_HISTORY_RETRY_MS, count.untilFewer(now));
    return { kind: 'refused', retryAfterMs };
  }

  /**
   * Whether a request that the holder counts afterwards keeps this entry within its even share of what all may admit in any
   * window. Nobody counts it if the holder is lost meanwhile, and entries miss the holder only after a while.
   */
  private isWithinEvenShare(team: Team, entryCount: number, now: number): boolean {
    const tolerance = this.tolerance();
    if (tolerance === undefined) return true;
    const evenLimit = isolatedLimitOf(team, tolerance) / Math.max(1, entryCount);
    return this.hasRoom(team.name, evenLimit, tolerance, now);
  }

  private hasRoom(team: string, evenLimit: number, tolerance: TeamTolerance, now: number): boolean {
    const { count, rounding } = this.historyOf(team, tolerance);
    return count.total(now) + 1 <= Math.floor(evenLimit + rounding);
  }

  private historyOf(team: string, { windowMs }: TeamTolerance): AdmittedHistory {
    const known = this.histories.get(team);
    if (known !== undefined) return known;
    const history = { count: new SlidingCount(windowMs), rounding: this.random.float() };
    this.histories.set(team, history);
    return history;
  }

  private decideByShare(
    team: Team,
    entryCount: number,
    now: number,
  ): Exclude<TeamDecision, { kind: 'ask' }> {
    const isRelaxed = this.tightModes.get(team.name) === false;
    const options = {
      perSecond: team.ratePerSecond / Math.max(1, entryCount),
      usualDemand: usualDemandOf(isRelaxed),
    };
    const share = this.localShares.get(team.name) ?? new DemandShare(this.random, options, now);
    this.localShares.set(team.name, share);
    share.configure(options);
    if (share.admits(now)) return ADMITTED;
    return { kind: 'refused', retryAfterMs: share.retryAfterMs };
  }

  /** Caps the local bucket at its initial level while the holder is reachable, so that each outage adds little. */
  private capLocalBucket(team: Team, entryCount: number, now: number): void {
    const { rate, initialLevel } = this.isolatedLimits(team, entryCount);
    this.localBuckets.get(team.name)?.configure(rate, initialLevel, now);
  }

  /** Rate in tokens per second, and initial level in tokens. */
  private isolatedLimits(team: Team, entryCount: number): IsolatedLimits {
    const isRelaxed = this.tightModes.get(team.name) === false;
    const fractions = isRelaxed ? ISOLATED_RELAXED_FRACTIONS : ISOLATED_TIGHT_FRACTIONS;
    const evenShare = 1 / Math.max(1, entryCount);
    return {
      rate: team.ratePerSecond * fractions.rate * evenShare,
      initialLevel: team.burst * fractions.initialLevel * evenShare,
    };
  }
}
