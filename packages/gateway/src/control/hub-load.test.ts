/**
 * Bounds of what hubs send to entries while connections and reports cost them several times what they cost on the grown
 * deployments, in virtual time, at the size of those and beyond.
 */
import { describe, it } from 'node:test';
import { isNewerVersion } from '@marigoldbank/routing/plan';
import { expect } from 'earl';
import type { Announcement } from '../announcement.js';
import { MAX_CONFIRMED_AGE_MS } from '../sync/confirmation.js';
import { FakeFleet } from '../testing/FakeFleet.js';
import type { FakeHub } from '../testing/fake-fleet-parts.js';
import { makeEmptyPlan } from '../testing/fixtures.js';

/** A change that was acknowledged is in force at all entries after this time. */
const CONFIG_APPLY_MS = 2_000;

/** Time until a fleet that starts all at once is served. */
const SETTLED_MS = 3_000;

/** On the grown deployments an entry that connects takes 8.6 ms of a hub that has 0.4 of a core. */
const CONNECT_MS = 21;

/** The reports of 16 entries, 9 requests a second each, take 0.6 of what a hub can do; this is for one of 14 a second. */
const REPORT_MS = 2.7;

const REQUESTS_PER_SECOND = 9;

const FAILED_SHARE = 0.2;

const STEP_MS = 20;

/** Time from the start of a request to its outcome. */
const REQUEST_STEPS = 3;

const TARGETS = Array.from({ length: 20 }, (_, i): Announcement => ({
  id: `target-${i}`,
  address: `10.1.0.${i}:80`,
  service: 'service-1',
  dataCentre: 'dc-1',
  slots: 6,
  isDraining: false,
  coldMs: 0,
  born: 1,
  seq: 1,
  version: 'v1',
}));

const SIZES = [
  { hubCount: 6, entryCount: 82 },
  { hubCount: 7, entryCount: 111 },
  { hubCount: 21, entryCount: 333 },
];

function startFleet({ hubCount, entryCount }: (typeof SIZES)[number]): FakeFleet {
  const dataCentres = ['dc-1', 'dc-2', 'dc-3', 'dc-4'];
  const dataCentreOf = (i: number): string => dataCentres[i % dataCentres.length]!;
  const fleet = new FakeFleet({
    hubs: Array.from({ length: hubCount }, (_, i) => dataCentreOf(i)),
    entries: Array.from({ length: entryCount }, (_, i) => dataCentreOf(i)),
  });
  fleet.hubs.forEach(({ hub, clock }) => TARGETS.forEach((t) => hub.announce(t, clock.now())));
  fleet.commit(makeEmptyPlan(1));
  return fleet;
}

/** Lets entries send requests at a multiple of the usual rate, some of which fail. */
async function serve(fleet: FakeFleet, durationMs: number, rateFactor: number): Promise<void> {
  const perStep = (REQUESTS_PER_SECOND * rateFactor * STEP_MS) / 1_000;
  /** Numbers of the requests of an entry that start in a step. */
  const startedIn = (step: number, entry: number): number[] => {
    const first = Math.floor(step * perStep + entry / 7);
    const count = Math.floor((step + 1) * perStep + entry / 7) - first;
    return step < 0 ? [] : Array.from({ length: count }, (_, i) => first + i + entry);
  };
  const targetOf = (request: number): string => TARGETS[request % TARGETS.length]!.id;
  for (let step = 0; step < durationMs / STEP_MS; step += 1) {
    fleet.entries.forEach(({ reporter }, entry) => {
      startedIn(step, entry).forEach((request) => reporter.recordLoadChange(targetOf(request)));
      startedIn(step - REQUEST_STEPS, entry).forEach((request) => {
        const isFailed = request % (1 / FAILED_SHARE) === 0;
        reporter.recordOutcome(targetOf(request), isFailed ? 'failed' : 'succeeded');
      });
    });
    await fleet.advance(STEP_MS);
  }
}

function countOutdated(fleet: FakeFleet, version: number): number {
  return fleet.entries.filter(({ state }) => isNewerVersion(version, state.planVersion)).length;
}

function countLate(fleet: FakeFleet): number {
  return fleet.hubs.filter(({ hub }) => hub.confirmedAgeMs() > MAX_CONFIRMED_AGE_MS).length;
}

/** Number of entries whose plan was not confirmed recently. */
function countUnconfirmed(fleet: FakeFleet): number {
  return fleet.entries.filter(
    ({ state, clock }) => state.confirmedAgeMs(clock.now()) > MAX_CONFIRMED_AGE_MS,
  ).length;
}

function freeze(fleet: FakeFleet, hubs: readonly FakeHub[], durationMs: number): void {
  hubs.forEach((hub) => fleet.freeze(hub, durationMs));
}

describe('hubs of entries that all start at once', () => {
  // All entries know the same three seeds. These were busy with streams for seconds, so that plans and confirmations
  // waited, and entries that gave them up made the next hubs as busy.
  SIZES.forEach((size) => {
    // 111 entries that connect to one seed cost it more than 3 s at five times the cost, even if it refuses all of them.
    (size.entryCount > 300 ? [1, 3] : [1, 3, 5]).forEach((costFactor) => {
      it(`serve ${size.entryCount} entries in time, with connections that cost ${costFactor} times as much`, async () => {
        const fleet = startFleet(size);
        fleet.connectMs = CONNECT_MS * costFactor;
        await fleet.advance(SETTLED_MS);
        fleet.commit(makeEmptyPlan(2));
        await fleet.advance(CONFIG_APPLY_MS);
        expect({ outdated: countOutdated(fleet, 2), late: countLate(fleet) }).toEqual({
          outdated: 0,
          late: 0,
        });
        await fleet.advance(1_000);
        expect(countUnconfirmed(fleet)).toEqual(0);
      });
    });
  });
});

describe('hubs of entries that report much', () => {
  // Entries sent a report for each failure and each 60 ms, however many of them waited at the hub.
  [1, 4, 10].forEach((rateFactor) => {
    SIZES.slice(rateFactor === 10 ? 0 : 1, rateFactor === 10 ? 3 : 2).forEach((size) => {
      it(`send plans and status in time to ${size.entryCount} entries at ${rateFactor} times the rate`, async () => {
        const fleet = startFleet(size);
        await fleet.advance(15_000);
        fleet.connectMs = CONNECT_MS;
        fleet.reportMs = REPORT_MS;
        await serve(fleet, 4_000, rateFactor);
        fleet.commit(makeEmptyPlan(2));
        await serve(fleet, CONFIG_APPLY_MS, rateFactor);
        expect({
          outdated: countOutdated(fleet, 2),
          late: countLate(fleet),
          unconfirmed: countUnconfirmed(fleet),
        }).toEqual({ outdated: 0, late: 0, unconfirmed: 0 });
      });
    });
  });
});

describe('hubs that remain while others are frozen', () => {
  // Each remaining hub got several times its entries at once, and its own waited for their snapshots.
  SIZES.forEach((size) => {
    it(`send plans in time to their own entries, and take over those of the others, ${size.entryCount} in all`, async () => {
      const fleet = startFleet(size);
      await fleet.advance(25_000);
      fleet.connectMs = 3 * CONNECT_MS;
      fleet.reportMs = REPORT_MS;
      const frozen = fleet.hubs.slice(1, 1 + Math.floor((size.hubCount - 1) / 2));
      const addresses = new Set(frozen.map(({ address }) => address));
      const own = fleet.entries.filter(({ followed }) => !addresses.has(followed ?? ''));
      freeze(fleet, frozen, 4_000);
      await serve(fleet, 1_000, 1);
      fleet.commit(makeEmptyPlan(2));
      await serve(fleet, CONFIG_APPLY_MS, 1);
      expect(own.filter(({ state }) => isNewerVersion(2, state.planVersion)).length).toEqual(0);
      await serve(fleet, 2_000, 1);
      expect(countOutdated(fleet, 2)).toEqual(0);
      fleet.commit(makeEmptyPlan(3));
      await serve(fleet, CONFIG_APPLY_MS, 1);
      expect(countOutdated(fleet, 3)).toEqual(0);
    });
  });
});
