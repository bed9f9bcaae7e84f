/** The buckets that this entry holds. Each has the share that is safe while views and limits change in the fleet. */
import { firstOfEachDataCentre } from '@marigoldbank/base/rendezvous';
import { AdoptionHistory } from './AdoptionHistory.js';
import { IDLE_MS, type BudgetTiming } from './constants.js';
import { HeldBucket } from './HeldBucket.js';
import { IdleMap } from './IdleMap.js';
import { NO_SHARE, safeShare, type Placement, type Share } from './shares.js';
import type { TokenBucket } from './TokenBucket.js';
import type { BudgetView, LimitLookup } from './types.js';

/** Number of views from which the bucket of an idle team is rebuilt. Older views count as unknown. */
const MAX_VIEWS = 4;

/** Number of limits that are kept for the same purpose. */
const MAX_LIMITS = 8;

export class HeldBuckets {
  private readonly views = new AdoptionHistory<BudgetView>(MAX_VIEWS);

  private readonly limits = new AdoptionHistory<LimitLookup>(MAX_LIMITS);

  private readonly held = new IdleMap<HeldBucket>();

  public constructor(
    private readonly self: string,
    private readonly startedAt: number,
    private readonly timing: BudgetTiming,
  ) {}

  /** Number of buckets in memory. */
  public get size(): number {
    return this.held.size;
  }

  public get view(): BudgetView | undefined {
    return this.views.newest?.value;
  }

  public get limitLookup(): LimitLookup | undefined {
    return this.limits.newest?.value;
  }

  /** Adopts a view. Buckets keep their tokens only if it directly succeeds the last view and the entry is current. */
  public adoptView(view: BudgetView, now: number, isCurrent: boolean): void {
    const previous = this.view;
    if (previous !== undefined && view.epoch <= previous.epoch) return;
    this.views.adopt(view, now, isCurrent && view.epoch === (previous?.epoch ?? NaN) + 1);
  }

  public adoptLimits(limits: LimitLookup, now: number, isCurrent: boolean): void {
    if (limits === this.limitLookup) return;
    this.limits.pruneRetired(now);
    this.limits.adopt(limits, now, isCurrent);
  }

  public retireOlderViews(epoch: number, acceptedAt: number, now: number): void {
    this.views.retireOlder((view) => view.epoch <= epoch, this.retirementTime(acceptedAt, now));
  }

  public retireOlderLimits(acceptedAt: number, now: number): void {
    this.limits.retireOlder(() => true, this.retirementTime(acceptedAt, now));
  }

  /** Returns the bucket of a team, accrued up to `now`, or undefined if this entry has no share of the limit. */
  public find(team: string, now: number): TokenBucket | undefined {
    const held = this.held.use(team, now) ?? this.create(team, now);
    if (held === undefined) return undefined;
    this.sync(team, held, now);
    return held.bucket;
  }

  /** Like `find`, but does not create a bucket that is not in memory. */
  public findExisting(team: string, now: number): TokenBucket | undefined {
    const held = this.held.peek(team);
    if (held !== undefined) this.sync(team, held, now);
    return held?.bucket;
  }

  /** Time until a new share becomes safe to use; 0 if there is none to wait for, Infinity if the time is unknown. */
  public waitMs(now: number): number {
    const times = [this.views.newest?.olderRetiredAt, this.limits.newest?.olderRetiredAt];
    const awaited = Math.max(...times.map((time) => (time === undefined ? Infinity : time)));
    return Math.max(0, awaited - now);
  }

  /** Drops full buckets of idle teams. They are rebuilt from the history of views and limits when they are needed. */
  public sweep(now: number): void {
    this.held.sweep(now - IDLE_MS, now, (team, held) => {
      this.sync(team, held, now);
      return held.bucket.isFull;
    });
  }

  public clear(): void {
    this.held.clear();
  }

  private retirementTime(acceptedAt: number, now: number): number {
    return Math.max(
      acceptedAt + this.timing.acceptanceWaitMs,
      this.startedAt + this.timing.restartWaitMs,
      now,
    );
  }

  /**
   * Creates a bucket that is not in memory. It was full or never used, so it has no loans and accrues from the oldest
   * known view on.
   */
  private create(team: string, now: number): HeldBucket | undefined {
    const { oldest } = this.views;
    if (oldest === undefined) return undefined;
    const held = new HeldBucket(oldest.adoptedAt, this.timing.lenderLifetimeMs);
    if (this.shareAt(team, held, now).capacity === 0) return undefined;
    return this.held.add(team, held, now);
  }

  private get version(): number {
    return this.views.version + this.limits.version;
  }

  private sync(team: string, held: HeldBucket, now: number): void {
    const { from, isSameVersion } = held.markSynced(this.version, now);
    const latest = Math.max(this.views.latestBreakpoint, this.limits.latestBreakpoint);
    if (isSameVersion && latest < from) held.bucket.advance(now);
    else this.replay(team, held, from, now);
  }

  /** Applies the changes of the share since `from`, each at its time. */
  private replay(team: string, held: HeldBucket, from: number, now: number): void {
    const { bucket } = held;
    const oldestAt = this.views.oldest?.adoptedAt ?? now;
    if (from < oldestAt) {
      bucket.clear(oldestAt);
      bucket.setShare(NO_SHARE, oldestAt);
    }
    // The history may have dropped changes of the limits since the last update, so the smaller share applies.
    const first = this.shareAt(team, held, from);
    const previous = bucket.currentShare;
    const capacity = Math.min(first.capacity, previous.capacity);
    bucket.setShare({ capacity, rate: Math.min(first.rate, previous.rate) }, from);
    [...this.views.breakpoints(from, now), ...this.limits.breakpoints(from, now)]
      .sort((a, b) => a - b)
      .forEach((time) => bucket.setShare(this.shareAt(team, held, time), time));
    bucket.setShare(this.shareAt(team, held, now), now);
  }

  private shareAt(team: string, held: HeldBucket, at: number): Share {
    // Limits older than the known ones have been dropped. For times before the oldest known limits were adopted, these
    // apply, provided that it is known when the older ones go out of use.
    const oldestLimits = this.limits.oldest;
    const lookups =
      oldestLimits !== undefined &&
      oldestLimits.adoptedAt > at &&
      oldestLimits.olderRetiredAt < Infinity
        ? [oldestLimits.value]
        : this.limits.activeAt(at);
    const limit = lookups.at(-1)?.(team);
    if (limit === undefined) return NO_SHARE;
    const bursts = lookups.flatMap((lookup) => lookup(team)?.burst ?? []);
    const placements = this.views.activeAt(at).map((view) => this.placementOf(team, held, view));
    return safeShare(placements, limit, bursts);
  }

  private placementOf(team: string, held: HeldBucket, view: BudgetView): Placement {
    const known = held.placements.get(view);
    if (known !== undefined) return known;
    const holders = firstOfEachDataCentre(team, view.entries);
    const index = holders.findIndex((holder) => holder.vm === this.self);
    const placement = { index, count: holders.length };
    if (held.placements.size >= MAX_VIEWS) held.placements.clear();
    held.placements.set(view, placement);
    return placement;
  }
}
