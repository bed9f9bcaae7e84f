/** Reports what this entry admitted for each team lately to a new holder of the budgets, and to one that it has found again. */
import type { Clock } from '@marigoldbank/base/clock';
import type { Logger } from '@marigoldbank/daemon/telemetry/Logger';
import { teamHistoriesTotal } from '../metrics.js';
import { toTeamHistoryMessage } from '../sync/team-history.js';
import { EntryExtension, type ReportFields } from './EntryExtension.js';
import type { EntryState } from './EntryState.js';

export interface ReporterContext {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly state: EntryState;
}

export class TeamHistoryReporter extends EntryExtension {
  private hadHolder = false;

  private isDue = false;

  /** Number of the holder that was told last, 0 if unknown. */
  private toldHolder = 0;

  private changedAt = -Infinity;

  public constructor(private readonly ctx: ReporterContext) {
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
    const { state } = this.ctx;
    const hasHolder = state.hasBudgetHolder(now);
    const { budgetHolder } = state;
    const isReplaced = hasHolder && budgetHolder > 0 && budgetHolder !== this.toldHolder;
    if (isReplaced) this.toldHolder = budgetHolder;
    if (hasHolder === this.hadHolder && !isReplaced) return;
    if (hasHolder) this.isDue = true;
    this.hadHolder = hasHolder;
    this.logChange(now);
  }

  private logChange(now: number): void {
    const { logger, state } = this.ctx;
    const sinceMs = now - this.changedAt;
    this.changedAt = now;
    logger.info(this.hadHolder ? 'budget holder is found' : 'budget holder is lost', {
      holder: state.budgetHolder,
      entryCount: state.entryCount,
      ...(sinceMs < Infinity ? { sinceMs: Math.round(sinceMs) } : {}),
      ...state.teamLimiter.mostAdmitted(now),
    });
  }
}
