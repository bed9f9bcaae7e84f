/** Decides at the control leader which changes are accepted, from the reports of entries. */
import type { FleetView } from './config.js';
import { MAX_REPORT_DELAY_MS } from './freshness-constants.js';
import { majorityOfView } from './PeerRound.js';

/** What an entry says in a poll. */
export interface EntryReport {
  readonly vm: string;
  /** Differs at each start of the entry. A run with other state than the last one is a new start. */
  readonly incarnation: string;
  /** Revision in force; 0 without configuration. */
  readonly revision: number;
  /** Time of the leader's clock at which the report arrived (ms). */
  readonly receivedAt: number;
  /**
   * A time of the leader's clock that the entry knew when it sent the report, echoed from the leader's last answer.
   * Without it the report counts as sent 1,000 ms before it arrived.
   */
  readonly sentAfter?: number;
}

/** State of one change. */
export interface AcceptanceProgress {
  readonly isAccepted: boolean;
  readonly inForce: number;
  readonly total: number;
  /** Entries of the view that have not reported the revision. */
  readonly missing: readonly string[];
}

/** Time span for which an entry is known to have had a revision, or a later one, in force without a restart. */
interface Span {
  readonly from: number;
  readonly to: number;
}

/** Reports of one run of an entry. */
interface EntryRun {
  readonly incarnation: string;
  /** Newest revision last, each with the arrival of the first report of it. */
  readonly firsts: { readonly revision: number; readonly at: number }[];
  lastSentAfter: number;
}

/** A revision that is committed and not yet accepted, with the views whose majorities it needs. */
interface Step {
  readonly revision: number;
  readonly views: readonly FleetView[];
}

/** Most entries that are known to have had a revision in force at one and the same moment. */
function maxOverlap(spans: readonly Span[]): number {
  return Math.max(
    0,
    ...spans.map(({ from: at }) => spans.filter(({ from, to }) => from <= at && at <= to).length),
  );
}

export class AcceptanceTracker {
  private readonly runs = new Map<string, EntryRun>();

  private steps: readonly Step[] = [];

  private newestView: FleetView | undefined;

  private accepted = { revision: 0, at: -Infinity };

  /**
   * A new leader starts with no reports and relearns them from polls. `earlierViews` are views that may not have been
   * replaced by an accepted one yet; the first revision needs their majorities as well.
   */
  public constructor(private readonly earlierViews: readonly FleetView[] = []) {}

  public get acceptedRevision(): number {
    return this.accepted.revision;
  }

  /** Time at which the accepted revision was found to be accepted. */
  public get acceptedAt(): number {
    return this.accepted.at;
  }

  /** Notes a committed revision. Call it in the order of revisions; a new leader may start with the newest. */
  public commit(revision: number, view: FleetView): void {
    if (revision <= (this.steps.at(-1)?.revision ?? this.accepted.revision)) return;
    const previous = this.newestView === undefined ? this.earlierViews : [this.newestView];
    // A change of the view needs the majorities of the old and the new one.
    const changed = previous.filter((other) => other.epoch !== view.epoch);
    this.steps = [...this.steps, { revision, views: [...changed, view] }];
    this.newestView = view;
  }

  /** Notes a poll of an entry. A report of an earlier run than the last one must not be passed. */
  public report(report: EntryReport): void {
    const sentAfter = report.sentAfter ?? report.receivedAt - MAX_REPORT_DELAY_MS;
    const known = this.runs.get(report.vm);
    const run: EntryRun =
      known?.incarnation === report.incarnation
        ? known
        : { incarnation: report.incarnation, firsts: [], lastSentAfter: -Infinity };
    const newest = run.firsts.at(-1)?.revision ?? 0;
    if (report.revision > newest) {
      run.firsts.push({ revision: report.revision, at: report.receivedAt });
    }
    run.lastSentAfter = Math.max(run.lastSentAfter, sentAfter);
    this.runs.set(report.vm, run);
  }

  /** Forgets an entry that left the view. */
  public forget(vm: string): void {
    this.runs.delete(vm);
  }

  /** Accepts, in order, what majorities have in force. Returns the revisions that are newly accepted. */
  public evaluate(now: number): number[] {
    const open = this.steps.findIndex((step) => !this.isInForce(step));
    const accepted = open < 0 ? this.steps : this.steps.slice(0, open);
    if (accepted.length === 0) return [];
    this.steps = this.steps.slice(accepted.length);
    this.accepted = { revision: accepted.at(-1)!.revision, at: now };
    this.prune();
    return accepted.map((step) => step.revision);
  }

  public progress(revision: number, view: FleetView): AcceptanceProgress {
    const missing = view.entries
      .map((entry) => entry.vm)
      .filter((vm) => (this.runs.get(vm)?.firsts.at(-1)?.revision ?? 0) < revision);
    const total = view.entries.length;
    const isAccepted = revision <= this.accepted.revision;
    return { isAccepted, inForce: total - missing.length, total, missing };
  }

  private isInForce(step: Step): boolean {
    return step.views.every((view) => {
      const spans = view.entries.flatMap((entry) => this.spanOf(entry.vm, step.revision) ?? []);
      return maxOverlap(spans) >= majorityOfView(view);
    });
  }

  private spanOf(vm: string, revision: number): Span | undefined {
    const run = this.runs.get(vm);
    const first = run?.firsts.find((known) => known.revision >= revision);
    if (run === undefined || first === undefined || run.lastSentAfter < first.at) return undefined;
    return { from: first.at, to: run.lastSentAfter };
  }

  /** Only the newest accepted revision of each run matters further on. */
  private prune(): void {
    this.runs.forEach((run) => {
      const open = run.firsts.findIndex(({ revision }) => revision > this.accepted.revision);
      const keepFrom = open < 0 ? run.firsts.length - 1 : Math.max(0, open - 1);
      run.firsts.splice(0, keepFrom);
    });
  }
}
