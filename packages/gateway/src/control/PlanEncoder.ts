/** Encodes the difference between two plans and caches it for all entries that need it. */
import { diffPlanItems, encodePlanChanges } from '@marigoldbank/routing/plan-items';
import type { CommittedPlan } from './CommittedPlan.js';

/** Entries lag behind by a few versions at most; other base versions are rare. */
const MAX_CACHED = 8;

export class PlanEncoder {
  private target: CommittedPlan | undefined;

  private readonly cached = new Map<CommittedPlan | undefined, Uint8Array>();

  /** Encodes the changes from one plan, or from none, to another. */
  public encode(from: CommittedPlan | undefined, to: CommittedPlan): Uint8Array {
    if (this.target !== to) this.cached.clear();
    this.target = to;
    const known = this.cached.get(from);
    if (known !== undefined) return known;
    const encoded = encodePlanChanges(diffPlanItems(from?.items ?? new Map(), to.items));
    if (this.cached.size >= MAX_CACHED) this.cached.clear();
    this.cached.set(from, encoded);
    return encoded;
  }
}
