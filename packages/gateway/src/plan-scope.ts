/** Which plans a setting applies to. What is meant for uneven load takes effect only where the configuration shows such load. */
import { z } from 'zod';
import type { RoutingPlan } from '@marigoldbank/routing/plan';

/** `largeBodies`: plans with a route for large bodies, which load targets and links unevenly. */
export const planScopeSchema = z.enum(['none', 'largeBodies', 'all']);

export type PlanScope = z.infer<typeof planScopeSchema>;

export function appliesTo(scope: PlanScope, plan: RoutingPlan): boolean {
  if (scope === 'largeBodies') return plan.routes.some((route) => route.hasLargeBody === true);
  return scope === 'all';
}

/** Whether a setting applies to the current plan; false while there is none. Searches each plan once. */
export function appliesToCurrent(
  scope: PlanScope,
  currentPlan: () => RoutingPlan | undefined,
): () => boolean {
  let known: { readonly plan: RoutingPlan | undefined; readonly applies: boolean } | undefined;
  return () => {
    const plan = currentPlan();
    if (known === undefined || known.plan !== plan) {
      known = { plan, applies: plan !== undefined && appliesTo(scope, plan) };
    }
    return known.applies;
  };
}
