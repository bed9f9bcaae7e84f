/** Decides at the control leader, from the reports of entries, which changes are accepted. */
import type { FleetView } from './config.js';
import { MAX_REPORT_DELAY_MS } from './freshness-constants.js';
import { majorityOfView } from './PeerRound.js';

/** Report of an entry in a poll of the leader. */
export interface EntryReport {
  readonly vm: string;
  /** Differs at each start of the entry. If the entry resumes with a different state, that counts as a new start. */
  readonly incarnation: string;
  /** Revision in force; 0 without configuration. */
  readonly revision: number;
  /** Time of the leader's clock at which the report arrived (ms). */
  readonly receivedAt: number;
  /**
   * Time of the leader's clock, echoed from the leader's last answer: the report was sent after it. Without it the
   * report is taken to have been sent at most 1,000 ms before it arrived.
   */
  readonly sentAfter?: number;
}

/** Acceptance of one change. */
export interface AcceptanceProgress {
  readonly isAccepted: boolean;
  readonly inForce: number;
  readonly total: number;
  /** Entries of the view that have not reported the revision. */
  readonly missing: readonly string[];
}

/** Time span in which an entry is known to have had a revision, or a later one, in force without a restart. */
interface InForceSpan {
  readonly from: number;
  readonly to: number;
}

/** Reports of one incarnation of an entry. */
interface EntryRun {
  readonly incarnation: string;
  /** Reported revisions, newest last, each with the arrival time of the first report of it. */
  readonly firstReports: { readonly revision: number; readonly at: number }[];
  /** Latest time after which a report of this run is known to have been sent. */
  lastSentAfter: number;
}

/** A revision that is committed but not yet accepted, with the views whose majorities it needs. */
interface PendingRevision {
  readonly revision: number;
  readonly views: readonly FleetView[];
}

/** Largest number of spans that contain the same point in time. */
function maxOverlap(spans: readonly InForceSpan[]): number {
  return Math.max(
    0,
    ...spans.map(({ from: at }) => spans.filter(({ from, to }) => from <= at && at <= to).length),
  );
}

export class AcceptanceTracker {
  private readonly runs = new Map<string, EntryRun>();

  private pendingRevisions: readonly PendingRevision[] = [];

  private newestView: FleetView | undefined;

  private accepted = { revision: 0, at: -Infinity };

  /**
   * A new leader starts with no reports and collects them from polls. `earlierViews` are views that may not have been
   * replaced by an accepted one yet; the first revision needs their majorities as well.
   */
  public constructor(private readonly earlierViews: readonly FleetView[] = []) {}

  public get acceptedRevision(): number {
    return this.accepted.revision;
  }

  /** Time of the evaluation that found the accepted revision to be accepted. */
  public get acceptedAt(): number {
    return this.accepted.at;
  }

  /** Records a committed revision. Call it in the order of revisions; a new leader may start with the newest. */
  public commit(revision: number, view: FleetView): void {
    if (revision <= (this.pendingRevisions.at(-1)?.revision ?? this.accepted.revision)) return;
    const previous = this.newestView === undefined ? this.earlierViews : [this.newestView];
    // A change of the view needs majorities of both the old and the new view.
    const changed = previous.filter((other) => other.epoch !== view.epoch);
    this.pendingRevisions = [...this.pendingRevisions, { revision, views: [...changed, view] }];
    this.newestView = view;
  }

  /** Records a report. Reports of an earlier incarnation than the last one must not be passed. */
  public report(report: EntryReport): void {
    const sentAfter = report.sentAfter ?? report.receivedAt - MAX_REPORT_DELAY_MS;
    const known = this.runs.get(report.vm);
    const run: EntryRun =
      known?.incarnation === report.incarnation
        ? known
        : { incarnation: report.incarnation, firstReports: [], lastSentAfter: -Infinity };
    const newest = run.firstReports.at(-1)?.revision ?? 0;
    if (report.revision > newest) {
      run.firstReports.push({ revision: report.revision, at: report.receivedAt });
    }
    run.lastSentAfter = Math.max(run.lastSentAfter, sentAfter);
    this.runs.set(report.vm, run);
  }

  /** Drops the reports of an entry that left the view. */
  public forget(vm: string): void {
    this.runs.delete(vm);
  }

  /** Accepts, in order, the revisions that the required majorities have in force. Returns the newly accepted ones. */
  public evaluate(now: number): number[] {
    const firstPending = this.pendingRevisions.findIndex((pending) => !this.isInForce(pending));
    const accepted =
      firstPending < 0 ? this.pendingRevisions : this.pendingRevisions.slice(0, firstPending);
    if (accepted.length === 0) return [];
    this.pendingRevisions = this.pendingRevisions.slice(accepted.length);
    this.accepted = { revision: accepted.at(-1)!.revision, at: now };
    this.prune();
    return accepted.map((pending) => pending.revision);
  }

  public progress(revision: number, view: FleetView): AcceptanceProgress {
    const missing = view.entries
      .map((entry) => entry.vm)
      .filter((vm) => (this.runs.get(vm)?.firstReports.at(-1)?.revision ?? 0) < revision);
    const total = view.entries.length;
    const isAccepted = revision <= this.accepted.revision;
    return { isAccepted, inForce: total - missing.length, total, missing };
  }

  private isInForce(pending: PendingRevision): boolean {
    return pending.views.every((view) => {
      const spans = view.entries.flatMap((entry) => this.spanOf(entry.vm, pending.revision) ?? []);
      return maxOverlap(spans) >= majorityOfView(view);
    });
  }

  private spanOf(vm: string, revision: number): InForceSpan | undefined {
    const run = this.runs.get(vm);
    const first = run?.firstReports.find((known) => known.revision >= revision);
    if (run === undefined || first === undefined || run.lastSentAfter < first.at) return undefined;
    return { from: first.at, to: run.lastSentAfter };
  }

  /** Drops first reports older than that of the newest accepted revision, which are no longer needed. */
  private prune(): void {
    this.runs.forEach((run) => {
      const firstPending = run.firstReports.findIndex(
        ({ revision }) => revision > this.accepted.revision,
      );
      const keepFrom =
        firstPending < 0 ? run.firstReports.length - 1 : Math.max(0, firstPending - 1);
      run.firstReports.splice(0, keepFrom);
    });
  }
}
