/** Hubs of a fleet that are late for a moment, in virtual time, at the size of the grown deployments and beyond. */
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { MAX_CONFIRMED_AGE_MS } from '../sync/confirmation.js';
import type { Announcement } from '../announcement.js';
import { FakeFleet } from '../testing/FakeFleet.js';
import type { FakeHub } from '../testing/fake-fleet-parts.js';
import { makeEmptyPlan } from '../testing/fixtures.js';

/** A hub spends 8 ms of a core on an entry that connects. It has 0.4 of a core, and requests use most of that. */
const CONNECT_MS = 60;

const ENTRIES_PER_HUB = 16;

const STEP_MS = 50;

const TARGET: Announcement = {
  id: 'target-1',
  address: '10.1.0.1:80',
  service: 'service-1',
  dataCentre: 'dc-1',
  slots: 6,
  isDraining: false,
  coldMs: 0,
  born: 1,
  seq: 1,
  version: 'v1',
};

async function startFleet(hubCount: number): Promise<FakeFleet> {
  const dataCentres = ['dc-1', 'dc-2', 'dc-3', 'dc-4'];
  const fleet = new FakeFleet({
    hubs: Array.from({ length: hubCount }, (_, i) => dataCentres[i % dataCentres.length]!),
    entries: Array.from(
      { length: hubCount * ENTRIES_PER_HUB },
      (_, i) => dataCentres[i % dataCentres.length]!,
    ),
  });
  fleet.hubs.forEach(({ hub, clock }) => hub.announce(TARGET, clock.now()));
  fleet.commit(makeEmptyPlan(1));
  await fleet.advance(30_000);
  fleet.connectMs = CONNECT_MS;
  return fleet;
}

/** Lets time pass while entries of all hubs send requests, so that each hub has messages for its entries all the time. */
async function serve(
  fleet: FakeFleet,
  durationMs: number,
  onStep: () => void = () => undefined,
): Promise<void> {
  for (let i = 0; i < durationMs / STEP_MS; i += 1) {
    fleet.entries
      .filter((_, entry) => entry % ENTRIES_PER_HUB === i % ENTRIES_PER_HUB)
      .forEach(({ reporter }) => reporter.recordLoadChange(TARGET.id));
    onStep();
    await fleet.advance(STEP_MS);
  }
}

/** Gives hubs half as much again to do as they can for a while, so that their messages wait longer and longer. */
async function overload(
  fleet: FakeFleet,
  hubs: readonly FakeHub[],
  durationMs: number,
): Promise<void> {
  await serve(fleet, durationMs, () => hubs.forEach((hub) => fleet.occupy(hub, 1.5 * STEP_MS)));
}

function countConnections(fleet: FakeFleet): number {
  return fleet.hubs.reduce((sum, hub) => sum + hub.connections, 0);
}

function countUnconfirmed(fleet: FakeFleet): number {
  return fleet.hubs.filter(({ hub }) => hub.confirmedAgeMs() > MAX_CONFIRMED_AGE_MS).length;
}

// Entries left late hubs for others that were late as well. Each connection delayed the next hub, so that all hubs stayed
// late, and entries without confirmed state refused requests of teams that were within their rate.
describe('entries of late hubs', () => {
  [7, 21].forEach((hubCount) => {
    it(`do not move from one late hub to the next, with ${hubCount} hubs`, async () => {
      const fleet = await startFleet(hubCount);
      const before = countConnections(fleet);
      await overload(fleet, fleet.hubs, 3_000);
      await serve(fleet, 5_000);
      expect(countConnections(fleet) - before).toBeLessThan(fleet.entries.length / 4);
      expect(countUnconfirmed(fleet)).toEqual(0);
    });

    it(`move once if the other hubs are not late, with ${hubCount} hubs`, async () => {
      const fleet = await startFleet(hubCount);
      const before = countConnections(fleet);
      const late = fleet.hubs.slice(1, 1 + (2 * hubCount) / 7);
      await overload(fleet, late, 4_500);
      const remaining = fleet.entries.filter(({ followed }) =>
        late.some(({ address }) => address === followed),
      );
      expect(remaining.length).toBeLessThan((late.length * ENTRIES_PER_HUB) / 4);
      await serve(fleet, 3_500);
      expect(countConnections(fleet) - before).toBeLessThan(1.25 * late.length * ENTRIES_PER_HUB);
      expect(countUnconfirmed(fleet)).toEqual(0);
    });
  });
});
