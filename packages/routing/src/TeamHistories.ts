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

/** A team that has had more than this part of its limit needs a token for each request. */
const TIGHT_FRACTION = 0.75;

export class TeamHistories {
  private readonly counts = new Map<string, SlidingCount>();

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

  public addHistory({ team, admitted }: TeamHistory, now: number): void {
    this.countOf(team).addRecent(admitted, now);
  }

  /** Counts requests that were admitted now; below 0 for some that were not run. */
  public add(team: string, admitted: number, now: number): void {
    if (this.isCurrent(now)) this.countOf(team).add(admitted, now);
  }

  /** Requests that may still be admitted, rounded down. */
  public room(team: string, now: number): number {
    const limit = this.limits.get(team);
    if (limit === undefined || !this.isCurrent(now)) return Infinity;
    return Math.max(0, Math.floor(limit - this.countOf(team).total(now)));
  }

  /** Milliseconds until there is more room. */
  public waitMs(team: string, now: number): number {
    return Math.max(1, this.countOf(team).untilFewer(now));
  }

  public isTight(team: string, now: number): boolean {
    const limit = this.limits.get(team) ?? Infinity;
    return this.isCurrent(now) && this.countOf(team).total(now) > TIGHT_FRACTION * limit;
  }

  /** The requests of the last window, for the next holder. */
  public all(now: number): TeamHistory[] {
    return [...this.counts]
      .filter(([, count]) => count.total(now) > 0)
      .map(([team, count]) => ({ team, admitted: count.recent(now) }));
  }

  private countOf(team: string): SlidingCount {
    const known = this.counts.get(team);
    if (known !== undefined) return known;
    const count = new SlidingCount(this.tolerance.windowMs);
    this.counts.set(team, count);
    return count;
  }
}
