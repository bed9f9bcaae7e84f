/** Which services the plan gives requests that differ in rank, or that have teams. */
import type { RoutingPlan } from '../plan.js';

export function rankedServices({ routes, teams, services }: RoutingPlan): ReadonlySet<string> {
  const ranksOf = (name: string): Set<number> =>
    new Set(
      routes
        .filter(({ shares }) =>
          shares.some(({ service, weight }) => service === name && weight > 0),
        )
        .map(({ priority }) => priority),
    );
  return new Set(
    services.map(({ name }) => name).filter((name) => teams.length > 0 || ranksOf(name).size > 1),
  );
}
