import type { RoutingPlan } from '@marigoldbank/routing/plan';
import { toPlanItems, type PlanItems } from '@marigoldbank/routing/plan-items';

/** A committed plan with the operator's document and the items that it is split into for incremental updates. */
export class CommittedPlan {
  private cachedItems: PlanItems | undefined;

  public constructor(
    public readonly plan: RoutingPlan,
    public readonly document: string,
  ) {}

  /** Split on first use: a member that replays its log never uses most plans. */
  public get items(): PlanItems {
    this.cachedItems ??= toPlanItems(this.plan);
    return this.cachedItems;
  }
}
