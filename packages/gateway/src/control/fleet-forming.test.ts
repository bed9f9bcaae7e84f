/**
 * Guards against fleets of hundreds of entries that do not form in time: half of 276 entries followed no hub 12 s after the
 * start, since all of them went through the hubs of three seeds, while seven other hubs were idle.
 */
import { describe, it } from 'node:test';
import { isNewerVersion } from '@marigoldbank/routing/plan';
import { expect } from 'earl';
import { FakeFleet } from '../testing/FakeFleet.js';
import { makeEmptyPlan } from '../testing/fixtures.js';

/** A stream takes 8.6 ms of a core, and a hub has a fifth of one. */
const CONNECT_MS = 43;

const START_WITHIN_MS = 300;

const DATA_CENTRES = ['dc-1', 'dc-2', 'dc-3', 'dc-4', 'dc-5'];

/** Largest number of entries of one hub, as a multiple of the mean. */
const MAX_UNEVENNESS = 1.25;

const MAX_STREAMS_PER_ENTRY = 1.1;

const CONFIG_APPLY_MS = 2_000;

interface Size {
  readonly hubCount: number;
  readonly entryCount: number;
}

// 1,104 entries at 10 hubs are left out: their streams alone take a hub 4.7 s.
const SIZES: readonly Size[] = [
  { hubCount: 10, entryCount: 276 },
  { hubCount: 10, entryCount: 552 },
  { hubCount: 20, entryCount: 552 },
  { hubCount: 20, entryCount: 1_104 },
];

function startFleet({ hubCount, entryCount }: Size, costFactor: number): FakeFleet {
  const dataCentreOf = (i: number): string => DATA_CENTRES[i % DATA_CENTRES.length]!;
  const fleet = new FakeFleet({
    hubs: Array.from({ length: hubCount }, (_, i) => dataCentreOf(i)),
    entries: Array.from({ length: entryCount }, (_, i) => dataCentreOf(i)),
    startWithinMs: START_WITHIN_MS,
  });
  fleet.connectMs = CONNECT_MS * costFactor;
  fleet.commit(makeEmptyPlan(1));
  return fleet;
}

function countUnserved(fleet: FakeFleet): number {
  return fleet.entries.filter(({ state }) => state.planVersion === undefined).length;
}

function streamsPerEntry(fleet: FakeFleet): number {
  const streams = fleet.hubs.reduce((sum, { connections }) => sum + connections, 0);
  return streams / fleet.entries.length;
}

function mostEntries(fleet: FakeFleet): number {
  const followers = fleet.followersByHub();
  return (Math.max(...followers) * fleet.hubs.length) / fleet.entries.length;
}

/** Share of the time in which the busiest hub handles streams. */
async function highestLoad(fleet: FakeFleet, durationMs: number): Promise<number> {
  const before = fleet.hubs.map(({ connections }) => connections);
  await fleet.advance(durationMs);
  const opened = fleet.hubs.map(({ connections }, i) => connections - before[i]!);
  return (Math.max(...opened) * fleet.connectMs) / durationMs;
}

describe('a fleet that starts all at once', () => {
  SIZES.forEach((size) => {
    [1, 3].forEach((costFactor) => {
      const name = `${size.entryCount} entries and ${size.hubCount} hubs, streams that cost ${costFactor} times as much`;
      it(`forms in time with one stream an entry: ${name}`, async () => {
        const fleet = startFleet(size, costFactor);
        await fleet.advance(costFactor === 1 ? 5_000 : 10_000);
        expect(countUnserved(fleet)).toEqual(0);
        expect(streamsPerEntry(fleet)).toBeLessThanOrEqual(MAX_STREAMS_PER_ENTRY);
        expect(mostEntries(fleet)).toBeLessThanOrEqual(MAX_UNEVENNESS);
        expect(await highestLoad(fleet, 5_000)).toBeLessThanOrEqual(0.7);
      });
    });
  });

  it('forms in time while two of the three seeds are frozen', async () => {
    const fleet = startFleet(SIZES[0]!, 1);
    fleet.hubs.slice(1, 3).forEach((hub) => fleet.freeze(hub, 20_000));
    await fleet.advance(6_000);
    expect(countUnserved(fleet)).toEqual(0);
  });
});

describe('a fleet that has formed', () => {
  [SIZES[0]!, SIZES[2]!].forEach((size) => {
    it(`has a change in force in time while half of its hubs are frozen, ${size.entryCount} entries`, async () => {
      const fleet = startFleet(size, 1);
      await fleet.advance(20_000);
      fleet.hubs.slice(size.hubCount / 2).forEach((hub) => fleet.freeze(hub, 4_000));
      await fleet.advance(3_000);
      fleet.commit(makeEmptyPlan(2));
      await fleet.advance(CONFIG_APPLY_MS);
      expect(
        fleet.entries.filter(({ state }) => isNewerVersion(2, state.planVersion)).length,
      ).toEqual(0);
    });

    it(`keeps its streams while all hubs are late, ${size.entryCount} entries`, async () => {
      const fleet = startFleet(size, 1);
      await fleet.advance(20_000);
      const before = streamsPerEntry(fleet);
      fleet.hubs.forEach((hub) => Object.assign(hub, { delayMs: 600 }));
      await fleet.advance(5_000);
      fleet.hubs.forEach((hub) => Object.assign(hub, { delayMs: 0 }));
      await fleet.advance(5_000);
      expect(streamsPerEntry(fleet) - before).toBeLessThanOrEqual(0.1);
    });
  });
});
