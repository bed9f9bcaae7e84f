/** Shared test data. */
import { makeRoute } from '@marigoldbank/routing/fixtures';
import type { RoutingPlan } from '@marigoldbank/routing/plan';
import type { Announcement } from '../announcement.js';
import type { RunRequest } from '../entry/run-types.js';
import type { HeaderNames } from '../ProtocolAdapter.js';

export const HEADER_NAMES: HeaderNames = {
  requestId: 'x-request-id',
  deadlineMs: 'x-deadline-ms',
  seal: 'x-seal',
  team: 'x-team',
  expectedTarget: 'x-target',
  notRun: 'x-not-run',
  rateLimit: 'x-rate-limit',
  leaving: 'x-leaving',
  key: 'x-key',
};

/** More than the bodies of any test need. */
export const TEST_MEMORY_BYTES = 100_000_000;

/** An announcement of the ready target `t1`. */
export function makeAnnouncement(overrides: Partial<Announcement> = {}): Announcement {
  return {
    id: 't1',
    address: '10.0.0.1:80',
    service: 'orders',
    dataCentre: 'dc-1',
    version: 'v1',
    slots: 6,
    isDraining: false,
    coldMs: 0,
    seq: 1,
    born: 1,
    ...overrides,
  };
}

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

/** A request with the id `id-1` and 2 s to its deadline. */
export function makeRunRequest(now: number, isIdempotent: boolean): RunRequest {
  return {
    head: {
      method: 'POST',
      target: '/orders/1',
      host: 'shop.example',
      path: '/orders/1',
      requestId: 'id-1',
      key: undefined,
      deadlineMs: 2_000,
      headers: [],
    },
    body: Buffer.alloc(0),
    route: makeRoute({ isIdempotent }),
    team: undefined,
    priority: 1,
    dueAt: now + 2_000,
    fingerprint: () => 'fingerprint-1',
    signal: new AbortController().signal,
  };
}
