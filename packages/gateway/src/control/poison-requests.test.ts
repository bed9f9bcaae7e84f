/** Requests that end the targets that run them, in virtual time, from the small deployments to four times the largest. */
import { describe, it } from 'node:test';
import { Random } from '@marigoldbank/base/random';
import { makeTarget } from '@marigoldbank/routing/fixtures';
import { expect } from 'earl';
import { FakeFleet } from '../testing/FakeFleet.js';
import type { FakeEntry } from '../testing/fake-fleet-parts.js';
import { makeEmptyPlan } from '../testing/fixtures.js';

const FINGERPRINT = 'poison';

/** Time after the third end from which a request may not be sent on any more. */
const CONTACT_MS = 3_000;

const RUN_MS = 100;

async function startFleet(hubCount: number, entryCount: number): Promise<FakeFleet> {
  const dataCentres = ['dc-1', 'dc-2', 'dc-3'];
  const fleet = new FakeFleet({
    hubs: Array.from({ length: hubCount }, (_, i) => dataCentres[i % 3]!),
    entries: Array.from({ length: entryCount }, (_, i) => dataCentres[i % 3]!),
  });
  fleet.commit(makeEmptyPlan(1));
  await fleet.advance(10_000);
  return fleet;
}

/** Lets a target end under a request of an entry. */
async function endTarget(
  fleet: FakeFleet,
  { reporter, clock }: FakeEntry,
  target: string,
  fingerprints: readonly string[] = [FINGERPRINT],
): Promise<void> {
  const sentAt = clock.now();
  await fleet.advance(RUN_MS);
  fingerprints.forEach((fingerprint) =>
    reporter.recordLoss(fingerprint, makeTarget(target), sentAt),
  );
}

function refusing(fleet: FakeFleet, fingerprint = FINGERPRINT): FakeEntry[] {
  return fleet.entries.filter(
    ({ state, clock }) => state.suspects.quarantineMs(fingerprint, clock.now()) > 0,
  );
}

// Each entry counted only what it had seen itself, or nothing, so that a request was sent on by the next entry.
describe('a request under which three targets ended', () => {
  [
    { hubCount: 3, entryCount: 40 },
    { hubCount: 7, entryCount: 111 },
    { hubCount: 10, entryCount: 276 },
    { hubCount: 20, entryCount: 1_104 },
  ].forEach(({ hubCount, entryCount }) => {
    const size = `${entryCount} entries`;

    it(`at three entries of three data centres is refused by all of ${size} within half a second`, async () => {
      const fleet = await startFleet(hubCount, entryCount);
      for (let i = 0; i < 3; i += 1) await endTarget(fleet, fleet.entries[i]!, `t${i}`);
      await fleet.advance(500);
      expect(refusing(fleet).length).toEqual(entryCount);
    });

    it(`is refused by all of ${size} in time if the hub of the first entry is lost before the third end`, async () => {
      const fleet = await startFleet(hubCount, entryCount);
      const first = fleet.entries[1]!;
      await endTarget(fleet, first, 't0');
      await endTarget(fleet, first, 't1');
      const lost = fleet.hubs.find(({ address }) => address === first.followed)!;
      fleet.freeze(lost, 60_000);
      await endTarget(fleet, first, 't2');
      const others = fleet.entries.filter(({ followed }) => followed !== lost.address);
      await fleet.advance(CONTACT_MS);
      const refused = refusing(fleet);
      expect(others.filter((entry) => !refused.includes(entry)).length).toEqual(0);
      expect(refused.includes(first)).toEqual(true);
    });
  });

  it('is refused by an entry that has just connected', async () => {
    const fleet = await startFleet(7, 111);
    const late = fleet.entries[5]!;
    for (let i = 0; i < 3; i += 1) await endTarget(fleet, fleet.entries[i]!, `t${i}`);
    await fleet.advance(500);
    late.updates.length = 0;
    fleet.freeze(
      fleet.hubs.find(({ address }) => address === late.followed)!,
      10_000,
    );
    await fleet.advance(6_000);
    const snapshots = late.updates.filter(({ entryRef }) => entryRef > 0);
    expect(snapshots.map(({ suspects }) => suspects.map((s) => s.fingerprint))).toEqual([
      [FINGERPRINT],
    ]);
  });

  it('is refused by an entry that saw all three while it was cut off from all hubs', async () => {
    const fleet = await startFleet(3, 40);
    fleet.hubs.forEach((hub) => fleet.freeze(hub, 20_000));
    await fleet.advance(3_000);
    for (let i = 0; i < 3; i += 1) await endTarget(fleet, fleet.entries[7]!, `t${i}`);
    expect(refusing(fleet)).toEqual([fleet.entries[7]!]);
  });

  it('is served by all again after it has succeeded at one entry', async () => {
    const fleet = await startFleet(7, 111);
    for (let i = 0; i < 3; i += 1) await endTarget(fleet, fleet.entries[i]!, `t${i}`);
    await fleet.advance(500);
    fleet.entries[50]!.reporter.recordSuccess(FINGERPRINT);
    await fleet.advance(500);
    expect(refusing(fleet).length).toEqual(0);
  });
});

// Targets also end by themselves, and each end loses all requests that were in flight there.
describe('requests that were in flight at targets that ended', () => {
  it('are not refused while another one ends 20 targets', async () => {
    const fleet = await startFleet(7, 111);
    const random = new Random(1);
    const proper = Array.from({ length: 200 }, (_, i) => `proper-${i}`);
    for (let i = 0; i < 20; i += 1) {
      const inFlight = random.shuffle([...proper]).slice(0, 5);
      await endTarget(fleet, random.pick(fleet.entries)!, `t${i}`, [FINGERPRINT, ...inFlight]);
      inFlight.forEach((request) => random.pick(fleet.entries)!.reporter.recordSuccess(request));
      await fleet.advance(300);
    }
    expect(proper.filter((request) => refusing(fleet, request).length > 0)).toEqual([]);
    expect(refusing(fleet).length).toEqual(111);
  });

  it('are not refused if a rack of ten targets ends at once under the same request of ten entries', async () => {
    const fleet = await startFleet(7, 111);
    const sentAt = fleet.entries.map(({ clock }) => clock.now());
    await fleet.advance(RUN_MS);
    fleet.entries
      .slice(0, 10)
      .forEach(({ reporter }, i) =>
        reporter.recordLoss(FINGERPRINT, makeTarget(`t${i}`), sentAt[i]!),
      );
    await fleet.advance(1_000);
    expect(refusing(fleet).length).toEqual(0);
  });
});
