/** Keeps the last report of each entry to this leader. */
import type { Clock } from '@marigoldbank/base/clock';
import type { FleetConfig } from '@marigoldbank/fleet/config';
import type { EntryReport, EntryState } from './types.js';

/** Time after its last confirmed poll during which an entry counts as current. */
const CURRENT_MS = 2_000;

interface TimedReport extends EntryReport {
  readonly at: number;
}

export class EntryReports {
  private readonly reports = new Map<string, TimedReport>();

  public constructor(private readonly clock: Clock) {}

  public record(report: EntryReport): void {
    this.reports.set(report.entry.vm, { ...report, at: this.clock.now() });
  }

  public states(config: FleetConfig): EntryState[] {
    const now = this.clock.now();
    return config.view.entries.map((record) => {
      const report = this.reports.get(record.vm);
      const lastPollAgeMs = report === undefined ? undefined : now - report.at;
      return {
        record,
        revision: report?.revision ?? 0,
        isCurrent: lastPollAgeMs !== undefined && lastPollAgeMs <= CURRENT_MS,
        isDraining: (report?.isDraining ?? false) || config.drainingEntries.includes(record.vm),
        lastPollAgeMs,
      };
    });
  }

  /** VMs of the entries that are current and not draining. */
  public currentEntries(config: FleetConfig): string[] {
    return this.states(config)
      .filter((state) => state.isCurrent && !state.isDraining)
      .map((state) => state.record.vm);
  }
}
