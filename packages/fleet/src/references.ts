/** Check of the references between the lists. */
import type { Lists } from '@marigoldbank/lists/schema';

/** Describes every reference to a plan, route or service that the lists do not define. */
export function findDanglingReferences(lists: Lists): string[] {
  const teams = Object.entries(lists.teams)
    .filter(([, team]) => !Object.hasOwn(lists.plans, team.plan))
    .map(([id, team]) => `team ${id} names the plan ${team.plan}, which is not defined`);
  const routes = Object.entries(lists.routes)
    .filter(([, route]) => !Object.hasOwn(lists.services, route.service))
    .map(([id, route]) => `route ${id} names the service ${route.service}, which is not defined`);
  const plans = Object.entries(lists.plans).flatMap(([id, plan]) => [
    ...plan.routes
      .filter((route) => !Object.hasOwn(lists.routes, route))
      .map((route) => `plan ${id} names the route ${route}, which is not defined`),
    ...plan.services
      .filter((service) => !Object.hasOwn(lists.services, service))
      .map((service) => `plan ${id} names the service ${service}, which is not defined`),
  ]);
  return [...teams, ...routes, ...plans];
}
