/** Plans and targets for tests. */
import type { Route, RoutingPlan, Team } from './plan.js';
import type { TargetInfo } from './TargetTable.js';

export function makeRoute(overrides: Partial<Route> = {}): Route {
  return {
    name: 'orders',
    host: 'shop.example',
    prefix: '/orders/',
    isIdempotent: true,
    timeoutMs: 3_000,
    objectiveMs: 1_200,
    priority: 1,
    maxTargets: 2,
    isOpen: false,
    shares: [{ service: 'orders', weight: 1 }],
    ...overrides,
  };
}

export function makeTeam(overrides: Partial<Team> = {}): Team {
  return { name: 'north', keys: ['key-north'], ratePerSecond: 50, burst: 50, ...overrides };
}

export function makePlan(overrides: Partial<RoutingPlan> = {}): RoutingPlan {
  return {
    version: 1,
    routes: [makeRoute()],
    services: [{ name: 'orders', maxConnections: 360 }],
    teams: [makeTeam()],
    hasTeams: true,
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 1_048_576,
      headersTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    ...overrides,
  };
}

export function makeTarget(id: string, overrides: Partial<TargetInfo> = {}): TargetInfo {
  return {
    id,
    address: `10.0.0.1:${8_000 + Number(id.replace(/\D/g, ''))}`,
    service: 'orders',
    dataCentre: 'dc-1',
    slots: 6,
    isDraining: false,
    coldMs: 0,
    ...overrides,
  };
}
