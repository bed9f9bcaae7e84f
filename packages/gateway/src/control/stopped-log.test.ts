/** Hubs that run while the log processes of their VMs do not, in virtual time, at the size of the grown deployments. */
import { describe, it } from 'node:test';
import { isNewerVersion } from '@marigoldbank/routing/plan';
import { expect } from 'earl';
import { FakeFleet } from '../testing/FakeFleet.js';
import { makeEmptyPlan } from '../testing/fixtures.js';

/** Time after the acknowledgement of a change within which it is in force at each entry. */
const CONFIG_APPLY_MS = 2_000;

const HUBS = ['dc-1', 'dc-2', 'dc-3', 'dc-1', 'dc-2', 'dc-3', 'dc-4'];

const ENTRIES = HUBS.flatMap((dataCentre) => Array.from({ length: 16 }, () => dataCentre));

async function startFleet(): Promise<FakeFleet> {
  const fleet = new FakeFleet({ hubs: HUBS, entries: ENTRIES });
  fleet.commit(makeEmptyPlan(1));
  await fleet.advance(15_000);
  return fleet;
}

function countConnections(fleet: FakeFleet): number {
  return fleet.hubs.reduce((sum, { connections }) => sum + connections, 0);
}

describe('a hub whose log process has stopped', () => {
  // A log process ends by itself when its disk refuses writes. Its hub still heard the other hubs, so it counted as one
  // without a leader, and its entries stayed for up to 9 s while changes were acknowledged elsewhere.
  it('does not keep its entries on a plan that was replaced two seconds ago', async () => {
    const fleet = await startFleet();
    Object.assign(fleet.hubs.at(-1)!, { isLogDown: true });
    fleet.commit(makeEmptyPlan(2));
    await fleet.advance(CONFIG_APPLY_MS);
    const outdated = fleet.entries.filter(({ state }) => isNewerVersion(2, state.planVersion));
    expect(outdated.length).toEqual(0);
  });

  // The entries must leave it, since the others have a leader.
  it('does not count as one that hears no leader because there is none', async () => {
    const fleet = await startFleet();
    Object.assign(fleet.hubs.at(-1)!, { isLogDown: true });
    await fleet.advance(CONFIG_APPLY_MS);
    expect(fleet.entries.filter(({ state }) => state.isLeaderless).length).toEqual(0);
  });
});

describe('hubs that start before their log processes', () => {
  // A hub does not know the voters before its log process answers. It counted as cut off 2.5 s after its start, so that
  // entries which still had a plan went from one hub to the next.
  it('do not send their entries to each other', async () => {
    const fleet = new FakeFleet({ hubs: HUBS, entries: ENTRIES });
    fleet.hubs.forEach((hub) => {
      Object.assign(hub, { isLogDown: true });
      const unknown = { isLeader: false, leader: undefined, voters: [] };
      Object.assign(hub.log, { ...unknown, confirmedAt: -Infinity, leaderSeenAt: -Infinity });
    });
    fleet.entries.forEach(({ state }) => state.applyPlan(undefined, 1, []));
    await fleet.advance(2_000);
    const before = countConnections(fleet);
    await fleet.advance(2_000);
    expect(countConnections(fleet) - before).toBeLessThan(fleet.entries.length / 4);
  });
});
