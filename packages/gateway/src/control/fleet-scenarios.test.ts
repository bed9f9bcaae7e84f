/** Scenarios of whole fleets in virtual time, at the size of the grown deployments and beyond. */
import { describe, it } from 'node:test';
import { isNewerVersion } from '@marigoldbank/routing/plan';
import { expect } from 'earl';
import { FakeFleet } from '../testing/FakeFleet.js';
import type { FakeHub } from '../testing/fake-fleet-parts.js';
import { makeEmptyPlan } from '../testing/fixtures.js';

const CONFIG_APPLY_MS = 2_000;

/** Two hubs in each of three data centres and one in the largest, as in the grown deployment times `factor`. */
function makeFleet(factor = 1): FakeFleet {
  const sizes = { 'dc-1': 28, 'dc-2': 27, 'dc-3': 26, 'dc-4': 30 };
  const hubs = ['dc-1', 'dc-2', 'dc-3', 'dc-1', 'dc-2', 'dc-3', 'dc-4'];
  return new FakeFleet({
    hubs: Array.from({ length: factor }, () => hubs).flat(),
    entries: Object.entries(sizes).flatMap(([dataCentre, size]) =>
      Array.from({ length: size * factor }, () => dataCentre),
    ),
  });
}

/** Lets the messages of a hub wait longer by a quarter of a second each second, for 10 s. */
async function overload(fleet: FakeFleet, hub: FakeHub): Promise<void> {
  for (let i = 0; i < 100; i += 1) {
    Object.assign(hub, { delayMs: hub.delayMs + 25 });
    await fleet.advance(100);
  }
}

describe('a hub whose messages wait behind others', () => {
  // The hub dated confirmations by their arrival, and entries the status of the hub. Both looked fresh while plans were
  // late by several seconds, so that entries neither left the hub nor knew that their plan was outdated.
  it('does not keep its entries on a plan that was replaced two seconds ago', async () => {
    const fleet = makeFleet();
    fleet.commit(makeEmptyPlan(1));
    await fleet.advance(15_000);
    const busy = fleet.hubs.at(-1)!;
    await overload(fleet, busy);
    fleet.commit(makeEmptyPlan(2));
    await fleet.advance(CONFIG_APPLY_MS);
    const outdated = fleet.entries.filter(({ state }) => isNewerVersion(2, state.planVersion));
    expect(outdated.length).toEqual(0);
  });

  it('is not confirmed itself, nor does it count as without a leader, for which entries would stay', async () => {
    const fleet = makeFleet();
    fleet.commit(makeEmptyPlan(1));
    await fleet.advance(15_000);
    const busy = fleet.hubs.at(-1)!;
    await overload(fleet, busy);
    expect(busy.hub.confirmedAgeMs()).toBeGreaterThan(2_000);
    expect(fleet.entries.filter(({ state }) => state.isLeaderless).length).toEqual(0);
  });

  it('is confirmed all the time while it is not busy', async () => {
    const fleet = makeFleet();
    fleet.commit(makeEmptyPlan(1));
    await fleet.advance(15_000);
    const ages = fleet.hubs.map(({ hub }) => hub.confirmedAgeMs());
    expect(Math.max(...ages)).toBeLessThan(500);
  });
});

describe('hubs that are cut off from a majority', () => {
  // An entry that left such a hub often went to another one that was cut off as well, and stayed there twice as long.
  [1, 3].forEach((factor) => {
    it(`lose their entries to the others within two seconds after a commit, with ${7 * factor} hubs`, async () => {
      const fleet = makeFleet(factor);
      fleet.commit(makeEmptyPlan(1));
      await fleet.advance(25_000);
      // Two of the three seeds are among them.
      [1, 2, 6]
        .flatMap((i) => Array.from({ length: factor }, (_, j) => i + 7 * j))
        .forEach((i) => Object.assign(fleet.hubs[i]!, { isCutOff: true }));
      await fleet.advance(600);
      fleet.commit(makeEmptyPlan(2));
      await fleet.advance(CONFIG_APPLY_MS);
      expect(
        fleet.entries.filter(({ state }) => isNewerVersion(2, state.planVersion)).length,
      ).toEqual(0);
    });
  });
});

// A hub that hears the others, but is not heard, took the fleet for one without a leader. Its entries stayed for 4 to 8 s.
describe('a hub whose messages reach no other one', () => {
  [1, 3].forEach((factor) => {
    // The bound of entries of late hubs, see late-hubs.test.ts.
    it(`loses its entries to the others as a late hub does, with ${7 * factor} hubs`, async () => {
      const fleet = makeFleet(factor);
      fleet.commit(makeEmptyPlan(1));
      await fleet.advance(25_000);
      const isUnheard = (_: unknown, i: number): boolean => i % 7 === 1;
      const countFollowers = (): number =>
        fleet
          .followersByHub()
          .filter(isUnheard)
          .reduce((sum, count) => sum + count, 0);
      const before = countFollowers();
      fleet.hubs.filter(isUnheard).forEach((hub) => Object.assign(hub, { isUnheard: true }));
      await fleet.advance(4_500);
      expect(countFollowers()).toBeLessThan(before / 4);
    });

    it(`keeps its entries while there is no leader, as all of ${7 * factor} hubs do`, async () => {
      const fleet = makeFleet(factor);
      fleet.commit(makeEmptyPlan(1));
      await fleet.advance(25_000);
      const count = (): number => fleet.hubs.reduce((sum, hub) => sum + hub.connections, 0);
      const before = count();
      fleet.isLeaderless = true;
      await fleet.advance(3_500);
      fleet.isLeaderless = false;
      await fleet.advance(3_000);
      expect(count() - before).toEqual(0);
    });
  });
});

describe('the hubs of a fleet', () => {
  // The only hub of a data centre with 30 entries had twice as many as the others and ran out of processor time.
  [1, 3].forEach((factor) => {
    it(`share ${111 * factor} entries, also where a data centre has fewer hubs`, async () => {
      const fleet = makeFleet(factor);
      fleet.commit(makeEmptyPlan(1));
      await fleet.advance(25_000);
      const followers = fleet.followersByHub();
      const mean = fleet.entries.length / followers.length;
      expect(Math.max(...followers)).toBeLessThan(mean * 1.5);
    });
  });
});
