/** Reports what this entry admitted for each team lately as soon as it has a holder of the budgets again. */
import type { Clock } from '@marigoldbank/base/clock';
import { teamHistoriesTotal } from '../metrics.js';
import { toTeamHistoryMessage } from '../sync/team-history.js';
import { EntryExtension, type ReportFields } from './EntryExtension.js';
import type { EntryState } from './EntryState.js';

export class TeamHistoryReporter extends EntryExtension {
  private hadHolder = false;

  private isDue = false;

  public constructor(private readonly ctx: { readonly clock: Clock; readonly state: EntryState }) {
    super();
  }

  public override apply(_update: unknown, _isFirst: boolean, now: number): void {
    this.follow(now);
  }

  public override takeReport(): ReportFields {
    const { clock, state } = this.ctx;
    const now = clock.now();
    this.follow(now);
    if (!this.isDue) return {};
    this.isDue = false;
    const teamHistories = state.teamLimiter.recentHistories(now).map(toTeamHistoryMessage);
    teamHistoriesTotal.inc(teamHistories.length);
    return { teamHistories };
  }

  /** Called with each update and report, which come more often than a holder can be lost and found. */
  private follow(now: number): void {
    const hasHolder = this.ctx.state.hasBudgetHolder(now);
    if (hasHolder && !this.hadHolder) this.isDue = true;
    this.hadHolder = hasHolder;
  }
}
