/** One round of requests to the entries of a view, which confirm the configuration without the leader (path B). */
import type { FleetView } from './config.js';

/** Smallest number of entries that is more than half of a view. */
export function majorityOfView(view: FleetView): number {
  return Math.floor(view.entries.length / 2) + 1;
}

export class PeerRound {
  private readonly revisions = new Map<string, number>();

  public constructor(
    /** Monotonic ms at which the first request was sent, or earlier. */
    public readonly sentAt: number,
    public readonly view: FleetView,
  ) {}

  /** Highest revision among the answers; 0 without any. */
  public get highestRevision(): number {
    return Math.max(0, ...this.revisions.values());
  }

  /** A VM that answered with the highest revision, from which the configuration can be fetched. */
  public get highestRevisionVm(): string | undefined {
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
