import { describe, it } from 'node:test';
import { create, type MessageInitShape } from '@bufbuild/protobuf';
import {
  EntryReportSchema,
  HubRelaySchema,
  type PlanUpdateSchema,
} from '@marigoldbank/protocol/gen/marigoldbank/v1/sync_pb';
import { makePlan, makeRoute } from '@marigoldbank/routing/fixtures';
import { expect } from 'earl';
import { FakeFleet } from '../testing/FakeFleet.js';
import { readAll } from '../testing/streams.js';

const PEER = '10.0.0.99:7601';

function entry(
  vm: string,
): NonNullable<MessageInitShape<typeof HubRelaySchema>['entries']>[number] {
  return { identity: { vm, address: `${vm}:80`, dataCentre: 'dc-1' }, isReady: true };
}

describe('Hub', () => {
  // What another hub reported while its stream was broken is lost, so that an entry which ended meanwhile was named to
  // callers until that hub ended as well, and counted as one of its entries.
  it('forgets the entries of another hub that its next stream does not name', async () => {
    const fleet = new FakeFleet({ hubs: ['dc-1'], entries: [] });
    const { hub } = fleet.hubs[0]!;
    const connect = (...vms: string[]): void => {
      const hello = { address: PEER, dataCentre: 'dc-1' };
      const relay = create(HubRelaySchema, { hello, entries: vms.map(entry) });
      hub.handleRelay(relay, hub.peers.open(PEER, 'dc-1'));
    };
    connect('e1', 'e2', 'e3', 'e4');
    connect('e1', 'e2', 'e3');
    expect(hub.entries.countOf(PEER)).toEqual(3);
    expect(hub.addressesFor('dc-1').sort()).toEqual(['e1:80', 'e2:80', 'e3:80']);
  });

  // An entry that moved to another hub with the version before got the whole plan, 0.5 MB with 1,636 routes.
  it('sends only the changes to an entry that connects with an earlier plan', async () => {
    const fleet = new FakeFleet({ hubs: ['dc-1'], entries: [] });
    const { hub } = fleet.hubs[0]!;
    const routes = Array.from({ length: 1_636 }, (_, i) => makeRoute({ prefix: `/${i}/` }));
    [1, 2, 3].forEach((version) => {
      fleet.commit(makePlan({ version, routes: routes.slice(0, 1_633 + version) }));
    });
    await fleet.advance(1_000);
    const hello = create(EntryReportSchema, { planVersion: 1n });
    const stream = hub.connect({ vm: 'e1', address: 'e1:80', dataCentre: 'dc-1' }, hello)!;
    const plans: MessageInitShape<typeof PlanUpdateSchema>[] = [];
    readAll(stream.updates(), ({ plan }) => {
      if (plan !== undefined) plans.push(plan);
    }).catch(() => undefined);
    await fleet.advance(500);
    stream.end();
    expect(plans.map(({ fromVersion, version }) => [fromVersion, version])).toEqual([[1n, 3n]]);
    expect(plans[0]!.changes!.length).toBeLessThan(1_000);
  });
});
