/** Encodes the difference between two plans and caches it for all entries that need it. */
import { diffPlanItems, encodePlanChanges } from '@marigoldbank/routing/plan-items';
import type { CommittedPlan } from './CommittedPlan.js';

/** Entries lag behind by a few versions at most; other base versions are rare. */
const MAX_CACHED = 8;

export class PlanEncoder {
  /** Plan to which all cached differences lead. */
  private cachedTo: CommittedPlan | undefined;

  /** Encoded differences by the plan that they start from. */
  private readonly cached = new Map<CommittedPlan | undefined, Uint8Array>();

  /** Encodes the changes from one plan, or from none, to another. */
  public encode(from: CommittedPlan | undefined, to: CommittedPlan): Uint8Array {
    if (this.cachedTo !== to) this.cached.clear();
    this.cachedTo = to;
    const known = this.cached.get(from);
    if (known !== undefined) return known;
    const encoded = encodePlanChanges(diffPlanItems(from?.items ?? new Map(), to.items));
    if (this.cached.size >= MAX_CACHED) this.cached.clear();
    this.cached.set(from, encoded);
    return encoded;
  }
}
