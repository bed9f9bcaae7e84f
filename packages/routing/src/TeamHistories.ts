/**
 * What entries admitted for each team in the first time of a new holder of the budgets, before and after its start. The holder
 * cannot know from its buckets what entries without a holder, or with another one, admitted shortly before.
 */
import type { Team } from './plan.js';
import { SlidingCount } from './SlidingCount.js';
import { isolatedLimitOf, type TeamTolerance } from './teamTolerance.js';

/** Requests by interval, newest first. */
export interface TeamHistory {
  readonly team: string;
  readonly admitted: readonly number[];
}

/** What was admitted before the start has left the window after one, and entries report it within another. */
const WINDOWS = 2;

/** A smaller limit is not applied: the share of a few entries is refused by chance, though the team keeps to its rate. */
const MIN_LIMIT = 3;

/** A team that has had more than this part of its limit needs a token for each request. */
const TIGHT_FRACTION = 0.75;

export class TeamHistories {
  /** What this holder has granted or charged since its start. */
  private readonly counts = new Map<string, SlidingCount>();

  /** What entries admitted before they knew of this holder. */
  private readonly reported = new Map<string, SlidingCount>();

  /** What holders before this one granted or charged: mostly the same requests, as those of entries that are gone by now. */
  private readonly granted = new Map<string, SlidingCount>();

  private readonly limits = new Map<string, number>();

  /** `startedAt` is when the holder started (monotonic ms). */
  public constructor(
    private readonly tolerance: TeamTolerance,
    private readonly startedAt: number,
  ) {}

  /** Whether the histories still matter. */
  public isCurrent(now: number): boolean {
    return now - this.startedAt < WINDOWS * this.tolerance.windowMs;
  }

  /** Sets the limits of a holder that grants a fraction of all rates. */
  public configure(teams: readonly Team[], rateFraction: number): void {
    this.limits.clear();
    teams.forEach((team) =>
      this.limits.set(team.name, isolatedLimitOf(team, this.tolerance) * rateFraction),
    );
  }

  /** Adds what an entry admitted. */
  public addHistory({ team, admitted }: TeamHistory, now: number): void {
    this.countOf(this.reported, team).addRecent(admitted, now);
  }

  /** Adds what a holder before this one granted. */
  public addGranted({ team, admitted }: TeamHistory, now: number): void {
    this.countOf(this.granted, team).addRecent(admitted, now);
  }

  /** Counts requests that were admitted now; below 0 for some that were not run. */
  public add(team: string, admitted: number, now: number): void {
    if (this.isCurrent(now)) this.countOf(this.counts, team).add(admitted, now);
  }

  /** Requests that may still be admitted, rounded down. */
  public room(team: string, now: number): number {
    const limit = this.limits.get(team);
    if (limit === undefined || limit < MIN_LIMIT || !this.isCurrent(now)) return Infinity;
    return Math.max(0, Math.floor(limit - this.total(team, now)));
  }

  /** Milliseconds until there is more room. */
  public waitMs(team: string, now: number): number {
    const waits = [this.counts, this.reported, this.granted]
      .map((counts) => counts.get(team)?.untilFewer(now) ?? 0)
      .filter((waitMs) => waitMs > 0);
    return Math.max(1, Math.min(...waits, this.tolerance.windowMs));
  }

  public isTight(team: string, now: number): boolean {
    const limit = this.limits.get(team) ?? Infinity;
    return this.isCurrent(now) && this.total(team, now) > TIGHT_FRACTION * limit;
  }

  /** What this holder and those before it granted or charged in the last window, for the next one. */
  public grants(now: number): TeamHistory[] {
    return [...this.counts, ...this.granted]
      .filter(([, count]) => count.total(now) > 0)
      .map(([team, count]) => ({ team, admitted: count.recent(now) }));
  }

  private total(team: string, now: number): number {
    const before = [this.reported, this.granted].map((counts) => counts.get(team)?.total(now) ?? 0);
    return (this.counts.get(team)?.total(now) ?? 0) + Math.max(...before);
  }

  private countOf(counts: Map<string, SlidingCount>, team: string): SlidingCount {
    const known = counts.get(team);
    if (known !== undefined) return known;
    const count = new SlidingCount(this.tolerance.windowMs);
    counts.set(team, count);
    return count;
  }
}
