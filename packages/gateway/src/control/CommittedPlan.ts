import type { RoutingPlan } from '@marigoldbank/routing/plan';
import { toPlanItems, type PlanItems } from '@marigoldbank/routing/plan-items';

/** A plan with its document and its items. */
export class CommittedPlan {
  private splitItems: PlanItems | undefined;

  public constructor(
    public readonly plan: RoutingPlan,
    public readonly document: string,
  ) {}

  /** Split when they are first needed: a member that replays its log passes over most plans. */
  public get items(): PlanItems {
    this.splitItems ??= toPlanItems(this.plan);
    return this.splitItems;
  }
}
