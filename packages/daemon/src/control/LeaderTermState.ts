/** What a leader learns from polls during one term: reports of entries and accepted revisions. */
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

  /** Milliseconds since the accepted revision was found to be accepted. */
  public get acceptedAgeMs(): number {
    const { acceptedAt } = this.acceptance;
    return Number.isFinite(acceptedAt) ? this.clock.now() - acceptedAt : 0;
  }

  /** Notes a committed configuration. Every revision must be noted: each view in between counts. */
  public commit(config: FleetConfig): void {
    this.acceptance.commit(config.revision, config.view);
  }

  /** Notes one poll. */
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
