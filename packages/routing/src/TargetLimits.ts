/** Keeps an entry to its shares of the rates that targets name, and of the rates that cold targets tolerate. */
import type { Random } from '@marigoldbank/base/random';
import { ColdTargets, type ColdAnnouncement } from './ColdTargets.js';
import { LimitShare } from './LimitShare.js';
import { LimitTable, type LimitStatement } from './LimitTable.js';
import type { Service } from './plan.js';
import { coldRate, lowerRate, namedRate, type ColdBounds, type SharedRate } from './sharedRate.js';

const MS_PER_SECOND = 1_000;

/** What the rates of cold targets depend on. */
export interface ColdOptions {
  /** Without them the rates are used like those that targets name. */
  readonly bounds: ColdBounds | undefined;
  /** Number of entries that share the rates, not less than there may be. */
  readonly entryCount: (now: number) => number;
}

/** Limit in force of a target. */
interface Limit {
  readonly rate: SharedRate;
  readonly entryCount: number;
  /** Requests a second by which callers are told when to return: the named rate, or the usable part of a cold one. */
  readonly perSecond: number;
  /** Whether the rate that the target tolerates while it is cold is among the limits. */
  readonly isCold: boolean;
}

export class TargetLimits {
  private readonly table = new LimitTable();

  private readonly cold = new ColdTargets();

  private readonly shares = new Map<string, LimitShare>();

  /** Rates of cold targets by the limit, of which there is one for each service. */
  private readonly coldRates = new Map<number, SharedRate>();

  private heldBack = 0;

  /** `entryCount` returns the number of entries that share the limits. */
  public constructor(
    private readonly random: Random,
    private readonly entryCount: () => number,
    private readonly coldOptions: ColdOptions = { bounds: undefined, entryCount },
  ) {}

  /** Notes what an answer said about the limit of a target. Returns whether others should be told of it. */
  public note(target: string, statement: LimitStatement): boolean {
    const wasLimited = this.table.limitOf(target) !== undefined;
    const isNews = this.table.merge(target, statement);
    if (wasLimited && this.table.limitOf(target) === undefined) this.shares.delete(target);
    return isNews;
  }

  /** Takes the rates of cold targets from the services of a plan. */
  public setServices(services: readonly Service[]): void {
    this.cold.setServices(services);
    this.coldRates.clear();
  }

  /** Notes an announcement of a target that arrived at `now`. */
  public announce(announcement: ColdAnnouncement, now: number): void {
    this.cold.announce(announcement, now);
  }

  /** Notes that a connection to a target failed or that it did not respond in time. It may have become cold. */
  public recordFailure(target: string, now: number): void {
    this.cold.recordFailure(target, now);
  }

  /**
   * Treats all targets of a data centre as cold from `at` on (monotonic ms), until an announcement that was received later
   * says otherwise, at most for the cold time of their service.
   */
  public treatAsCold(dataCentre: string, at: number): void {
    this.cold.assumeCold(dataCentre, at);
  }

  /** Whether a request may be sent to the target now. Drawn anew for each request. */
  public admits(target: string, now: number): boolean {
    const limit = this.limitOf(target, now);
    const isAdmitted = this.shareOf(target, limit, now)?.admits(now) ?? true;
    if (!isAdmitted && limit?.isCold === true) this.heldBack += 1;
    return isAdmitted;
  }

  /** Whether the rate of any target may be bounded because it is cold. */
  public get mayBeCold(): boolean {
    return this.cold.mayHaveCold;
  }

  /** Whether the rate of the target is bounded because it is cold. */
  public isCold(target: string, now: number): boolean {
    return this.cold.limitOf(target, now) !== undefined;
  }

  /** Records that a request is sent to the target. */
  public spend(target: string, now: number): void {
    this.shareOf(target, this.limitOf(target, now), now)?.spend(now);
  }

  /** Number of times that the rate of a cold target did not admit a request since the last call. */
  public takeHeldBack(): number {
    const count = this.heldBack;
    this.heldBack = 0;
    return count;
  }

  /**
   * Expected time in ms until this entry may send a request to one of the targets, undefined if one of them has no limit.
   */
  public waitMs(targets: readonly string[], now: number): number | undefined {
    const limits = targets.map((target) => this.limitOf(target, now));
    if (limits.length === 0 || limits.includes(undefined)) return undefined;
    const count = this.entryCount();
    const total = limits.reduce(
      (sum, limit) =>
        // Targets that are cold may be shared by more entries.
        limit === undefined ? sum : sum + limit.perSecond * (count / limit.entryCount),
      0,
    );
    return (count / total) * MS_PER_SECOND;
  }

  public remove(target: string): void {
    this.table.remove(target);
    this.cold.remove(target);
    this.shares.delete(target);
  }

  /** The lower one of the rate that the target names and the one that it tolerates while it is cold. */
  private limitOf(target: string, now: number): Limit | undefined {
    const named = this.table.limitOf(target);
    const cold = this.cold.limitOf(target, now);
    const rate = lowerRate(
      named === undefined ? undefined : namedRate(named),
      cold === undefined ? undefined : this.coldRateOf(cold),
    );
    if (rate === undefined) return undefined;
    return {
      rate,
      entryCount: cold === undefined ? this.entryCount() : this.coldOptions.entryCount(now),
      perSecond: cold === undefined && named !== undefined ? named : rate.perSecond,
      isCold: cold !== undefined,
    };
  }

  private coldRateOf(limit: number): SharedRate {
    const known = this.coldRates.get(limit) ?? coldRate(limit, this.coldOptions.bounds);
    this.coldRates.set(limit, known);
    return known;
  }

  private shareOf(target: string, limit: Limit | undefined, now: number): LimitShare | undefined {
    if (limit === undefined) {
      this.shares.delete(target);
      return undefined;
    }
    const known = this.shares.get(target);
    if (known !== undefined) {
      known.configure(limit.rate, limit.entryCount, now);
      return known;
    }
    const created = new LimitShare(this.random, limit.rate, limit.entryCount, now);
    this.shares.set(target, created);
    return created;
  }
}
