import { describe, it } from 'node:test';
import { create } from '@bufbuild/protobuf';
import { HubUpdateSchema } from '@marigoldbank/protocol/gen/marigoldbank/v1/sync_pb';
import { PlacementShares } from '@marigoldbank/routing/load/PlacementShares';
import { expect } from 'earl';
import { gatewaySettingsSchema } from '../settings.js';
import { makeSettings } from '../testing/fake-fleet-parts.js';
import { PlacementFollower } from './PlacementFollower.js';

describe('PlacementFollower', () => {
  it('replaces the shares of the services that an update names, and keeps all others', () => {
    const shares = new PlacementShares();
    const follower = new PlacementFollower(shares, 'dc-1');
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
});

describe('placement.crossingPrice', () => {
  it('is refused below 0, with the name of the field', () => {
    const settings = { ...makeSettings('10.0.0.1', 'dc-1'), placement: { crossingPrice: -0.1 } };
    const bounds = { ...settings.bounds, grace: '6s', maxTtl: '5s', retryWindow: '10s' };
    const { error } = gatewaySettingsSchema.safeParse({ ...settings, bounds });
    expect(error?.issues.map(({ path }) => path.join('.'))).toEqual(['placement.crossingPrice']);
  });
});
