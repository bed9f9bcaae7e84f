/** Guards against version 0 of the plan, which an operator may choose, being taken for the absence of a plan. */
import { describe, it } from 'node:test';
import { makeRoute } from '@marigoldbank/routing/fixtures';
import type { RoutingPlan } from '@marigoldbank/routing/plan';
import { expect } from 'earl';
import type { EntryState } from '../entry/EntryState.js';
import { FakeFleet } from '../testing/FakeFleet.js';
import { makeEmptyPlan } from '../testing/fixtures.js';
import { losePower } from '../testing/losePower.js';

/** Time after its acknowledgement from which requests have to be handled by a change. */
const CONFIG_APPLY_MS = 2_000;

/** Time from the start of the last log process until no request is handled by a plan that was replaced. */
const KNOWN_MS = 2_500;

const DOWN_MS = 1_400;

const HOST = 'shop.example';

const DATA_CENTRES = ['dc-1', 'dc-2', 'dc-3', 'dc-4'];

const SIZES = [
  { hubs: 7, entries: 111 },
  { hubs: 14, entries: 222 },
];

interface Size {
  readonly hubs: number;
  readonly entries: number;
}

/** Two routes that all versions have, and one whose service and timeout are of this version. */
function makePlan(version: number): RoutingPlan {
  const services = ['orders', `orders-${version}`];
  return {
    ...makeEmptyPlan(version),
    hasTeams: false,
    services: services.map((name) => ({ name, maxConnections: 360 })),
    routes: [
      makeRoute({ host: HOST, prefix: '/first/' }),
      makeRoute({ host: HOST, prefix: '/second/' }),
      makeRoute({ host: HOST, prefix: '/moved/', shares: [{ service: services[1]!, weight: 1 }] }),
    ],
  };
}

function makeFleet({ hubs, entries }: Size): FakeFleet {
  return new FakeFleet({
    hubs: Array.from({ length: hubs }, (_, i) => DATA_CENTRES[i % 4]!),
    entries: Array.from({ length: entries }, (_, i) => DATA_CENTRES[i % 4]!),
  });
}

async function startWithFirstPlan(size: Size): Promise<FakeFleet> {
  const fleet = makeFleet(size);
  fleet.commit(makePlan(0));
  await fleet.advance(5_000);
  return fleet;
}

/** Version by which an entry handles requests of the route that moves, undefined if it does not know all three routes. */
function handledBy({ currentRouteTable }: EntryState): string | undefined {
  const routes = ['/first/x', '/second/x', '/moved/x'].map((path) =>
    currentRouteTable?.findRoute(HOST, path),
  );
  return routes.includes(undefined) ? undefined : routes.at(-1)!.shares[0]!.service;
}

function countWithout(fleet: FakeFleet, version: number): number {
  return fleet.entries.filter(({ state }) => handledBy(state) !== `orders-${version}`).length;
}

SIZES.forEach((size) => {
  describe(`a first plan of version 0: ${size.entries} entries`, () => {
    // Hubs took the plan for none and entries the one sent to them for an old one.
    it('is in force at all entries', async () => {
      const fleet = await startWithFirstPlan(size);
      expect(countWithout(fleet, 0)).toEqual(0);
    });

    // Entries took the changes for a complete plan and forgot all routes that the change did not name.
    it('is replaced by a change, which leaves the other routes', async () => {
      const fleet = await startWithFirstPlan(size);
      fleet.commit(makePlan(1));
      await fleet.advance(CONFIG_APPLY_MS);
      expect(countWithout(fleet, 1)).toEqual(0);
    });

    // Entries without a plan do not ask control VMs; those with version 0 did not either.
    it('is replaced in time while hubs are cut off', async () => {
      const fleet = await startWithFirstPlan(size);
      fleet.hubs
        .filter((_, i) => [1, 2, 6].includes(i % 7))
        .forEach((hub) => Object.assign(hub, { isCutOff: true }));
      fleet.commit(makePlan(1));
      await fleet.advance(CONFIG_APPLY_MS);
      expect(countWithout(fleet, 1)).toEqual(0);
    });

    // Without a majority that tells what is stored, entries cannot know that another plan may be in force.
    it('is not served by after a loss of power if a change may be in force', async () => {
      const fleet = await startWithFirstPlan(size);
      losePower(fleet, makePlan(1), DOWN_MS);
      await fleet.advance(DOWN_MS + KNOWN_MS);
      const mayDiffer = (path: string): number =>
        fleet.entries.filter(({ state }) => state.mayHandleOtherwise(HOST, path, undefined)).length;
      expect(mayDiffer('/moved/x')).toEqual(fleet.entries.length);
      expect(mayDiffer('/first/x')).toEqual(0);
    });
  });
});
