/** Guards against slow targets that only the entries of one hub know of, and against messages that nobody asked for. */
import { describe, it } from 'node:test';
import { makePlan, makeTarget } from '@marigoldbank/routing/fixtures';
import { expect } from 'earl';
import { FakeFleet } from '../testing/FakeFleet.js';

const TARGETS = 4;
const SLOW = 'target-0';
const STEP_MS = 50;

function announce(fleet: FakeFleet, born: number, seq: number): void {
  const infos = Array.from({ length: TARGETS }, (_, i) => makeTarget(`target-${i}`));
  fleet.hubs.forEach(({ hub, clock }) =>
    infos.forEach((info) => hub.announce({ ...info, version: '', seq, born }, clock.now())),
  );
}

async function makeFleet(isRanked: boolean): Promise<FakeFleet> {
  const fleet = new FakeFleet({
    seed: 1,
    hubs: ['dc-1', 'dc-1', 'dc-1'],
    entries: Array.from({ length: 6 }, () => 'dc-1'),
    overload: {
      rankedAdmission: false,
      slotQueue: isRanked,
      offeredRetryBudget: 'none',
      teamTolerance: 'none',
    },
  });
  announce(fleet, 1, 1);
  fleet.commit(makePlan());
  await fleet.advance(3_000);
  return fleet;
}

/** Lets the first entry observe that one target takes four times as long as the others. */
async function observe(fleet: FakeFleet, forMs: number): Promise<void> {
  const { reporter } = fleet.entries[0]!;
  for (let at = 0; at < forMs; at += STEP_MS) {
    Array.from({ length: TARGETS }, (_, i) => `target-${i}`).forEach((id) =>
      reporter.recordOutcome(id, 'succeeded', { durationPermille: id === SLOW ? 4_000 : 1_000 }),
    );
    await fleet.advance(STEP_MS);
  }
}

/** The pace of the slow target as each entry knows it. */
function pacesOf(fleet: FakeFleet, born: number): number[] {
  return fleet.entries.map(
    ({ state, clock }) => state.capacity?.paces.paceOf({ id: SLOW, born }, clock.now()).pace ?? 0,
  );
}

describe('paces of targets in a fleet', () => {
  it('reach the entries of all hubs, are kept while they last, and end with the incarnation', async () => {
    const fleet = await makeFleet(true);
    await observe(fleet, 3_000);
    expect(Math.min(...pacesOf(fleet, 1))).toBeGreaterThan(1.25);
    await observe(fleet, 12_000);
    expect(Math.min(...pacesOf(fleet, 1))).toBeGreaterThan(1.25);
    announce(fleet, 2, 2);
    await fleet.advance(1_000);
    expect(pacesOf(fleet, 2)).toEqual(pacesOf(fleet, 2).map(() => 1));
  });

  it('fade 10 s after the last outcome', async () => {
    const fleet = await makeFleet(true);
    await observe(fleet, 3_000);
    await fleet.advance(11_000);
    expect(Math.max(...pacesOf(fleet, 1))).toBeLessThanOrEqual(1.25);
  });

  it('are told to an entry that starts to follow another hub', async () => {
    const fleet = await makeFleet(true);
    await observe(fleet, 3_000);
    const [, entry] = fleet.entries;
    const hub = fleet.hubs.find(({ address }) => address === entry!.followed)!;
    hub.hub.leave();
    await fleet.advance(1_500);
    expect(entry!.followed === hub.address).toEqual(false);
    expect(pacesOf(fleet, 1)[1]!).toBeGreaterThan(1.25);
  });

  it('are neither learnt nor sent without the setting', async () => {
    const fleet = await makeFleet(false);
    await observe(fleet, 3_000);
    expect(fleet.entries.every(({ state }) => state.capacity === undefined)).toEqual(true);
    const updates = fleet.entries.flatMap((entry) => entry.updates);
    expect(updates.every(({ paces }) => paces.length === 0)).toEqual(true);
  });
});
