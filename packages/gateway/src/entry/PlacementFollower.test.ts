import { describe, it } from 'node:test';
import { create } from '@bufbuild/protobuf';
import { Emitter } from '@marigoldbank/base/events';
import { VirtualClock } from '@marigoldbank/base/virtual-clock';
import { HubUpdateSchema } from '@marigoldbank/protocol/gen/marigoldbank/v1/sync_pb';
import { makeRoute } from '@marigoldbank/routing/fixtures';
import { PlacementShares } from '@marigoldbank/routing/load/PlacementShares';
import { RouteTable } from '@marigoldbank/routing/RouteTable';
import { expect } from 'earl';
import { gatewaySettingsSchema } from '../settings.js';
import { makeSettings } from '../testing/fake-fleet-parts.js';
import { makeEmptyPlan } from '../testing/fixtures.js';
import { PlacementFollower } from './PlacementFollower.js';
import type { ServiceBytes } from './ServiceBytes.js';

describe('PlacementFollower', () => {
  it('replaces the shares of the services that an update names, and keeps all others', () => {
    const shares = new PlacementShares();
    const follower = new PlacementFollower({
      clock: new VirtualClock(),
      state: {
        placements: shares,
        serviceBytes: undefined,
        onDidChangePlan: new Emitter<RouteTable>().event,
      },
      dataCentre: 'dc-1',
      plans: 'all',
    });
    const apply = (service: string, dataCentre: string, permille: number): void =>
      follower.apply(create(HubUpdateSchema, { placements: [{ service, dataCentre, permille }] }));
    apply('orders', 'dc-2', 250);
    apply('stock', 'dc-3', 100);
    expect([0.2, 0.3].map((at) => shares.draw('orders', at))).toEqual(['dc-2', undefined]);
    // A hub that has just started has decided nothing.
    follower.apply(create(HubUpdateSchema, {}));
    apply('orders', '', 0);
    expect(shares.sharesOf('orders')).toEqual([]);
    expect(shares.draw('stock', 0.05)).toEqual('dc-3');
  });

  // Guards against bytes that count twice, and against reports by entries whose plan does not call for them.
  it('reports the bytes of services once a second, from the first plan on that calls for it', () => {
    const clock = new VirtualClock();
    const plans = new Emitter<RouteTable>();
    const state = {
      placements: new PlacementShares(),
      serviceBytes: undefined as ServiceBytes | undefined,
      onDidChangePlan: plans.event,
    };
    const follower = new PlacementFollower({
      clock,
      state,
      dataCentre: 'dc-1',
      plans: 'largeBodies',
    });
    plans.fire(new RouteTable(makeEmptyPlan(1)));
    expect([state.serviceBytes, follower.takeReport()]).toEqual([undefined, {}]);
    const routes = [{ ...makeRoute(), hasLargeBody: true }];
    plans.fire(new RouteTable({ ...makeEmptyPlan(2), routes }));
    state.serviceBytes?.countRequest('scans', 60_000);
    state.serviceBytes?.countAnswer('scans', 1_500);
    expect(follower.takeReport()).toEqual({
      traffic: [{ service: 'scans', requests: 1, bytes: 61_500 }],
    });
    state.serviceBytes?.countRequest('scans', 7);
    clock.advance(900);
    expect(follower.takeReport()).toEqual({});
    clock.advance(100);
    expect(follower.takeReport()).toEqual({
      traffic: [{ service: 'scans', requests: 1, bytes: 7 }],
    });
  });
});

describe('placement.crossingPrice', () => {
  it('is refused below 0, with the name of the field', () => {
    const settings = { ...makeSettings('10.0.0.1', 'dc-1'), placement: { crossingPrice: -0.1 } };
    const bounds = { ...settings.bounds, grace: '6s', maxTtl: '5s', retryWindow: '10s' };
    const { error } = gatewaySettingsSchema.safeParse({ ...settings, bounds });
    expect(error?.issues.map(({ path }) => path.join('.'))).toEqual(['placement.crossingPrice']);
  });
});
