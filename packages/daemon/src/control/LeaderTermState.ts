/** State that a leader collects from polls during one term: reports of the entries and accepted revisions. */
import type { Clock } from '@marigoldbank/base/clock';
import { AcceptanceTracker, type AcceptanceProgress } from '@marigoldbank/fleet/AcceptanceTracker';
import type { FleetConfig, FleetView } from '@marigoldbank/fleet/config';
import { EntryReports } from './EntryReports.js';
import type { EntryReport, EntryState } from './types.js';

export class LeaderTermState {
  private readonly reports: EntryReports;

  private readonly acceptance: AcceptanceTracker;

  public constructor(
    private readonly clock: Clock,
    public readonly term: number,
    openViews: readonly FleetView[],
  ) {
    this.reports = new EntryReports(clock);
    this.acceptance = new AcceptanceTracker(openViews);
  }

  public get acceptedRevision(): number {
    return this.acceptance.acceptedRevision;
  }

  /** Time since this leader found the accepted revision to be accepted; 0 if it has found none. */
  public get acceptedAgeMs(): number {
    const { acceptedAt } = this.acceptance;
    return Number.isFinite(acceptedAt) ? this.clock.now() - acceptedAt : 0;
  }

  /** Records a committed configuration. Pass every revision, since acceptance needs the majorities of all views in between. */
  public commit(config: FleetConfig): void {
    this.acceptance.commit(config.revision, config.view);
  }

  /** Records the report of a poll. */
  public record(config: FleetConfig, report: EntryReport): void {
    const now = this.clock.now();
    this.reports.record(report);
    this.acceptance.commit(config.revision, config.view);
    this.acceptance.report({
      vm: report.entry.vm,
      incarnation: report.incarnation,
      revision: report.revision,
      receivedAt: now,
      ...(report.leaderTerm === this.term ? { sentAfter: report.leaderTimeMs } : {}),
    });
    this.acceptance.evaluate(now);
  }

  public progress(config: FleetConfig, revision: number): AcceptanceProgress {
    this.acceptance.commit(config.revision, config.view);
    this.acceptance.evaluate(this.clock.now());
    return this.acceptance.progress(revision, config.view);
  }

  public states(config: FleetConfig): EntryState[] {
    return this.reports.states(config);
  }

  public currentEntries(config: FleetConfig): string[] {
    return this.reports.currentEntries(config);
  }
}
