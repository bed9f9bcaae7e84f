/** One round of questions to the entries of a view (path B). */
import type { FleetView } from './config.js';

/** More than half of the entries of a view. */
export function majorityOfView(view: FleetView): number {
  return Math.floor(view.entries.length / 2) + 1;
}

export class PeerRound {
  private readonly revisions = new Map<string, number>();

  public constructor(
    /** Monotonic ms at which the first question was sent, or earlier. */
    public readonly sentAt: number,
    public readonly view: FleetView,
  ) {}

  /** Highest revision among the answers; 0 without any. */
  public get highestRevision(): number {
    return Math.max(0, ...this.revisions.values());
  }

  /** A VM that answered with the highest revision, to fetch it from. */
  public get highestVm(): string | undefined {
    const highest = this.highestRevision;
    return [...this.revisions].find(([, revision]) => revision === highest)?.[0];
  }

  /** Whether a majority of the view answered. */
  public get hasMajority(): boolean {
    return this.revisions.size >= majorityOfView(this.view);
  }

  /** Counts an answer. An entry without configuration (revision 0) or outside the view does not count. */
  public add(vm: string, revision: number): void {
    if (revision <= 0 || !this.view.entries.some((entry) => entry.vm === vm)) return;
    this.revisions.set(vm, Math.max(revision, this.revisions.get(vm) ?? 0));
  }
}
