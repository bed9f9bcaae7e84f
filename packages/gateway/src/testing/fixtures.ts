/** Shared test data. */
import type { RoutingPlan } from '@marigoldbank/routing/plan';

/** A plan without routes, services and teams. */
export function makeEmptyPlan(version: number): RoutingPlan {
  return {
    version,
    routes: [],
    services: [],
    teams: [],
    hasTeams: true,
    limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headersTimeoutMs: 1, idleTimeoutMs: 1 },
  };
}
