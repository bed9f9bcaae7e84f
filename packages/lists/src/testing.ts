/** Lists for tests of this package and of its users. */
import type { Lists, Plan, Route } from './schema.js';

/** A route with defaults: GET only, not open, idempotent. */
export function createRoute(values: Partial<Route> & { readonly path: string }): Route {
  return {
    service: 'orders',
    methods: ['GET'],
    idempotent: true,
    open: false,
    timeoutMs: 5_000,
    maxBodyBytes: 1_048_576,
    ...values,
  };
}

export function createPlan(values: Partial<Plan> = {}): Plan {
  return { rate: 10, burst: 20, routes: [], services: ['orders'], ...values };
}

/** Valid lists: team `hotel` on plan `basic` may use all routes of `orders`, and the route of `maps` is open. */
export function createLists(values: Partial<Lists> = {}): Lists {
  return {
    teams: { hotel: { plan: 'basic', keys: ['hotel01'] } },
    services: {
      orders: { profile: 'prompt-detection', floor: 0.6 },
      maps: { profile: 'prompt-detection', floor: 0.6 },
    },
    routes: {
      'order-read': createRoute({ path: '/orders/:id' }),
      'order-place': createRoute({ path: '/orders', methods: ['POST'], idempotent: false }),
      'map-read': createRoute({ path: '/maps/*', service: 'maps', open: true }),
    },
    plans: { basic: createPlan() },
    ...values,
  };
}
