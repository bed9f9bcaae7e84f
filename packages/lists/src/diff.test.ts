import { describe, it } from 'node:test';
import { expect } from 'earl';
import { diffLists } from './diff.js';
import type { Lists } from './schema.js';
import { createLists, createPlan, createRoute } from './testing.js';

const before = createLists();
const textsOf = (after: Lists, from = before): string[] =>
  diffLists(from, after).map(({ isLoss, text }) => `${isLoss ? '- ' : ''}${text}`);

describe('diffLists', () => {
  it('describes effective access, whichever field of a plan grants it', () => {
    const plans = { basic: createPlan({ services: [], routes: ['order-read'] }) };
    expect(textsOf(createLists({ plans }))).toEqual([
      '- team hotel may no longer use route order-place',
      'plan basic no longer includes future routes of orders',
      'plan basic lists other routes: +order-read',
    ]);
  });

  it('describes a removed team with its key, and a new team', () => {
    const teams = { cafe: { plan: 'basic', keys: [] } };
    expect(textsOf(createLists({ teams }))).toEqual([
      'team cafe is new on plan basic (10 requests/s with a burst of 20) and may use routes order-place and order-read',
      '- team hotel is removed and may no longer use any route with a key',
      '- key hotel01 of team hotel stops working',
    ]);
  });

  it('groups teams that a change affects in the same way, also a move to another plan', () => {
    const ids = ['a', 'b', 'c', 'd', 'e', 'f', 'g'];
    const teamsOn = (plan: string): Lists['teams'] =>
      Object.fromEntries(ids.map((id) => [id, { plan, keys: [] }]));
    const plans = { basic: createPlan(), slow: createPlan({ rate: 5 }) };
    const from = createLists({ teams: teamsOn('basic'), plans });
    expect(textsOf(createLists({ teams: teamsOn('slow'), plans }), from)).toEqual([
      'teams a, b, c, d and 3 more move from plan basic to plan slow',
      '- teams a, b, c, d and 3 more: rate 10 -> 5 requests/s',
    ]);
  });

  it('describes a route that needs a key from now on, and the teams that lose access to it', () => {
    const routes = {
      ...before.routes,
      'map-read': createRoute({ path: '/maps/*', service: 'maps', methods: ['GET', 'HEAD'] }),
    };
    expect(textsOf(createLists({ routes }))).toEqual([
      '- team hotel may no longer use route map-read',
      'route map-read: methods GET -> GET, HEAD',
      '- route map-read: now needs a key',
    ]);
  });

  it('describes changed limits of routes and services', () => {
    const services = { ...before.services, maps: { profile: 'fair-share', floor: 0.8 } as const };
    const routes = {
      ...before.routes,
      'order-read': createRoute({ path: '/orders/:id', idempotent: false, timeoutMs: 100 }),
    };
    expect(textsOf(createLists({ services, routes }))).toEqual([
      'route order-read: no longer idempotent: a request is never sent again after it may have run',
      '- route order-read: timeout 5000 -> 100 ms',
      'service maps: profile prompt-detection -> fair-share',
      'service maps: floor 0.6 -> 0.8 of the targets',
    ]);
  });
});
