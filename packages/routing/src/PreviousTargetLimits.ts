/** The limits of targets as decided before the rates of cold targets, for comparisons in tests. */
import type { Random } from '@marigoldbank/base/random';
import { LimitTable, type LimitStatement } from './LimitTable.js';
import { PreviousLimitShare } from './PreviousLimitShare.js';

const MS_PER_SECOND = 1_000;

export class PreviousTargetLimits {
  private readonly table = new LimitTable();

  private readonly shares = new Map<string, PreviousLimitShare>();

  public constructor(
    private readonly random: Random,
    private readonly entryCount: () => number,
  ) {}

  public note(target: string, statement: LimitStatement): boolean {
    const isNews = this.table.merge(target, statement);
    if (this.table.limitOf(target) === undefined) this.shares.delete(target);
    return isNews;
  }

  public admits(target: string, now: number): boolean {
    return this.shareOf(target, now)?.admits(now) ?? true;
  }

  public spend(target: string, now: number): void {
    this.shareOf(target, now)?.spend(now);
  }

  public waitMs(targets: readonly string[]): number | undefined {
    const limits = targets.map((target) => this.table.limitOf(target));
    if (limits.length === 0 || limits.includes(undefined)) return undefined;
    const total = limits.reduce<number>((sum, limit) => sum + (limit ?? 0), 0);
    return (this.entryCount() / total) * MS_PER_SECOND;
  }

  private shareOf(target: string, now: number): PreviousLimitShare | undefined {
    const limit = this.table.limitOf(target);
    if (limit === undefined) return undefined;
    const known = this.shares.get(target);
    if (known !== undefined) {
      known.configure(limit, this.entryCount(), now);
      return known;
    }
    const created = new PreviousLimitShare(this.random, limit, this.entryCount(), now);
    this.shares.set(target, created);
    return created;
  }
}
