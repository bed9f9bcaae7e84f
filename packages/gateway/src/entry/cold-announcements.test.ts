/** How entries learn for how long targets are cold, in virtual time: through the hub that hears the target, or another one. */
import { describe, it } from 'node:test';
import { makePlan } from '@marigoldbank/routing/fixtures';
import { expect } from 'earl';
import { FakeFleet } from '../testing/FakeFleet.js';
import { makeAnnouncement } from '../testing/fixtures.js';

const ID = 't1';
const COLD_MS = 3_000;

/** Time until all entries know what a hub has heard. */
const TOLD_MS = 500;

interface Fixture {
  readonly fleet: FakeFleet;
  /** Lets the first hub hear a heartbeat that a control VM has received `ageMs` ago. */
  readonly announce: (seq: number, coldMs: number, ageMs?: number) => void;
  /** Entries that limit the requests to the target. */
  readonly coldCount: () => number;
  /** Messages with the target that entries have got. */
  readonly messageCount: () => number;
}

async function makeFleet(coldPerSecond: number | undefined): Promise<Fixture> {
  const fleet = new FakeFleet({
    hubs: ['dc-1', 'dc-1', 'dc-1'],
    entries: Array.from({ length: 6 }, () => 'dc-1'),
  });
  const bounds = coldPerSecond === undefined ? {} : { coldMs: COLD_MS, coldPerSecond };
  fleet.commit(makePlan({ services: [{ name: 'orders', maxConnections: 360, ...bounds }] }));
  const announce = (seq: number, coldMs: number, ageMs = 0): void => {
    const { hub, clock } = fleet.hubs[0]!;
    hub.announce(makeAnnouncement({ id: ID, seq, coldMs }), clock.now() - ageMs);
  };
  await fleet.advance(3_000);
  announce(1, 0);
  await fleet.advance(TOLD_MS);
  return {
    fleet,
    announce,
    coldCount: () =>
      fleet.entries.filter(({ state, clock }) => state.limits.isCold(ID, clock.now())).length,
    messageCount: () =>
      fleet.entries
        .flatMap(({ updates }) => updates)
        .filter(({ targets }) => targets.some(({ id }) => id === ID)).length,
  };
}

describe('entries', () => {
  // A heartbeat that only changes the cold time was taken for a repetition, and not passed on.
  it('are told at once that a target is cold again, and that it is not any more', async () => {
    const { fleet, announce, coldCount } = await makeFleet(5.8);
    expect(coldCount()).toEqual(0);
    announce(2, COLD_MS);
    await fleet.advance(TOLD_MS);
    expect(coldCount()).toEqual(fleet.entries.length);
    announce(3, 0);
    await fleet.advance(TOLD_MS);
    expect(coldCount()).toEqual(0);
  });

  // Each hub on the way subtracted the age again, so that entries took targets for warm that were not.
  it('take a target for cold until its time has passed, less the age of the heartbeat', async () => {
    const { fleet, announce, coldCount } = await makeFleet(5.8);
    announce(2, COLD_MS, 1_000);
    await fleet.advance(1_990);
    expect(coldCount()).toEqual(fleet.entries.length);
    await fleet.advance(TOLD_MS);
    expect(coldCount()).toEqual(0);
  });

  // With hundreds of entries and targets, each heartbeat would be more messages than all requests.
  it('are not told of heartbeats that count the same time down', async () => {
    const { fleet, announce, messageCount } = await makeFleet(5.8);
    announce(2, COLD_MS);
    await fleet.advance(TOLD_MS);
    const before = messageCount();
    announce(3, COLD_MS - TOLD_MS);
    await fleet.advance(1_000);
    announce(4, COLD_MS - TOLD_MS - 1_020);
    await fleet.advance(3_000);
    announce(5, 0);
    await fleet.advance(TOLD_MS);
    expect(messageCount()).toEqual(before);
  });

  it('are told nothing of the cold times of services without a rate', async () => {
    const { fleet, announce, coldCount, messageCount } = await makeFleet(undefined);
    const before = messageCount();
    announce(2, COLD_MS);
    await fleet.advance(TOLD_MS);
    expect([coldCount(), messageCount()]).toEqual([0, before]);
  });

  // The announcement was on its way when the connection failed.
  it('take a target for cold after a failure, until a heartbeat that was received later', async () => {
    const { fleet, announce, coldCount } = await makeFleet(5.8);
    announce(2, COLD_MS);
    fleet.entries.forEach(({ reporter }) => reporter.recordConnectFailure(ID));
    announce(3, 0);
    await fleet.advance(TOLD_MS);
    expect(coldCount()).toEqual(fleet.entries.length);
    announce(4, COLD_MS);
    await fleet.advance(TOLD_MS);
    announce(5, 0);
    await fleet.advance(TOLD_MS);
    expect(coldCount()).toEqual(0);
  });
});
