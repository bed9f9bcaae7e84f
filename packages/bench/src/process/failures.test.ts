import { afterEach, describe, it } from 'node:test';
import { randomUUID } from 'node:crypto';
import { writeFileSync } from 'node:fs';
import path from 'node:path';
import { expect } from 'earl';
import { stringify } from 'smol-toml';
import { fetch } from 'undici';
import type { Change } from '@marigoldbank/fleet/changes';
import { OPERATOR_SECRET, waitUntil, type FleetOptions } from './Fleet.js';
import { CommandLine } from '../demo/CommandLine.js';
import { createLists, FleetFixture, TEAM } from './FleetFixture.js';

/** Maximum time for which a withdrawn key is still accepted, from the acceptance of the withdrawal. */
const WITHDRAWAL_BOUND_MS = 3_000;

/** Maximum time for which a leaving upstream still gets new requests. */
const LEAVING_BOUND_MS = 3_000;

/** Longer than an entry stays current without control, and longer than a poll of its peers takes. */
const OUTAGE_MS = 6_000;

const OPTIONS: FleetOptions = {
  controlCount: 3,
  entryCount: 5,
  hasRelays: true,
  entriesWithDisk: 1,
};

let running: FleetFixture | undefined;

async function start(options: Partial<FleetOptions> = {}): Promise<FleetFixture> {
  running = await FleetFixture.start({ ...OPTIONS, ...options });
  return running;
}

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Calls an entry repeatedly until `end` and returns the statuses of its responses. */
async function callUntil(
  fixture: FleetFixture,
  entry: string,
  key: string,
  end: number,
): Promise<number[]> {
  const statuses: number[] = [];
  while (performance.now() < end) {
    statuses.push((await fixture.call(entry, { key })).status);
    await pause(20);
  }
  return statuses;
}

describe('a fleet of processes', () => {
  afterEach(async () => {
    await running?.stop();
    running = undefined;
  });

  it('refuses a withdrawn key at every entry, also at an isolated one and at one frozen during the withdrawal', async () => {
    const fixture = await start();
    const { fleet, operator } = fixture;
    const extraKey = await operator.issueKey(TEAM);
    await Promise.all(
      fleet.entries.map((entry) =>
        waitUntil(
          `${entry} knows the key`,
          async () => (await fixture.call(entry, { key: extraKey.key })).status === 200,
          10_000,
        ),
      ),
    );
    const [isolated, frozen] = fleet.entries;
    const others = [...fleet.controls, ...fleet.entries].filter((vm) => vm !== isolated);
    fleet.partition([isolated!], others);
    fleet.process(frozen!).freeze();
    const result = await operator.withdrawKey(extraKey.keyId);
    if (result.kind !== 'recorded') throw new Error(`not recorded: ${result.kind}`);
    await operator.waitAccepted(result.revision);
    await pause(WITHDRAWAL_BOUND_MS);
    fleet.process(frozen!).thaw();
    const end = performance.now() + 1_500;
    const statuses = await Promise.all(
      fleet.entries.map((entry) => callUntil(fixture, entry, extraKey.key, end)),
    );
    expect(statuses.flat().filter((status) => status === 200)).toEqual([]);
    // The team's other key still works, so the refusals are not caused by an outage.
    expect((await fixture.call(fleet.entries[4]!, { key: fixture.key.key })).status).toEqual(200);
  });

  it('keeps serving without control VMs, and a restarted entry gets the configuration from its peers', async () => {
    const fixture = await start();
    const { fleet, operator } = fixture;
    const extraKey = await operator.issueKey(TEAM);
    const withdrawn = await operator.withdrawKey(extraKey.keyId);
    if (withdrawn.kind !== 'recorded') throw new Error(`not recorded: ${withdrawn.kind}`);
    await operator.waitAccepted(withdrawn.revision);
    await Promise.all(fleet.controls.map((vm) => fleet.process(vm).kill()));
    await pause(OUTAGE_MS);
    const restarted = fleet.entries[3]!;
    await fleet.process(restarted).kill();
    fleet.process(restarted).start();
    await Promise.all(fleet.entries.map((entry) => fixture.waitServing(entry, 15_000)));
    const answers = await Promise.all(
      fleet.entries.map((entry) => fixture.call(entry, { key: extraKey.key })),
    );
    expect(answers.map(({ status }) => status)).toEqual(fleet.entries.map(() => 401));
  });

  it('accepts no change while the fleet is split into equal halves, and records changes on one side only', async () => {
    const fixture = await start({ entryCount: 4 });
    const { fleet, operator } = fixture;
    const [c1, c2, c3] = fleet.controls;
    const [e1, e2, e3, e4] = fleet.entries;
    const base = Number((await operator.status()).listsRevision);
    fleet.partition([c1!, c2!, e1!, e2!], [c3!, e3!, e4!]);
    await pause(OUTAGE_MS);
    const change = (rate: number): Change => ({
      kind: 'applyLists',
      changeId: randomUUID(),
      operator: `operator-${rate}`,
      at: new Date().toISOString(),
      baseListsRevision: base,
      lists: {
        ...createLists(rate),
        teams: { [TEAM]: { plan: 'pharmacy', keys: [fixture.key.keyId] } },
      },
    });
    const outcomes = await Promise.allSettled([
      operator.propose(change(1_000), 3_000),
      operator.propose(change(2_000), 3_000),
    ]);
    const kinds = outcomes.map((item) => (item.status === 'fulfilled' ? item.value.kind : 'none'));
    expect(kinds.filter((kind) => kind === 'recorded').length).toEqual(1);
    expect(kinds.filter((kind) => kind === 'conflict').length).toEqual(1);
    const revision = Number((await operator.status()).revision);
    expect((await operator.progress(revision)).isAccepted).toEqual(false);
    const cutOff = await fixture.call(e3!, { key: fixture.key.key });
    expect(cutOff.status).toEqual(503);
    expect(cutOff.verdict).toEqual('not-run');
    fleet.heal();
    await operator.waitAccepted(revision, 10_000);
  });

  it('loses nothing when a second control VM is lost right after a lost disk was replaced', async () => {
    const fixture = await start({ entryCount: 3 });
    const { fleet, operator } = fixture;
    const [wiped, lost] = fleet.controls;
    const before = Number((await operator.status()).revision);
    await fleet.process(wiped!).kill();
    fleet.process(wiped!).wipe();
    fleet.process(wiped!).start();
    const settingsFile = path.join(fleet.folder, 'marigoldbank.toml');
    const settings = { control: fleet.controlAddresses, operator: 't', secret: OPERATOR_SECRET };
    writeFileSync(settingsFile, stringify(settings));
    const commands = new CommandLine(settingsFile);
    const address = fleet.internalAddress(wiped!);
    await waitUntil(
      'the lost disk is replaced',
      async () => {
        const result = await commands.run('control', 'replace', wiped!, address);
        return result.exitCode === 0;
      },
      20_000,
    );
    await fleet.process(lost!).kill();
    const issued = await operator.issueKey(TEAM);
    expect(issued.revision).toBeGreaterThan(before);
    const status = await operator.status();
    expect(status.voters.map(({ member }) => member?.vm).sort()).toEqual([...fleet.controls]);
    expect((await commands.run('audit', 'verify')).exitCode).toEqual(0);
  });

  it('fails no request when an entry is terminated', async () => {
    const fixture = await start();
    const { fleet } = fixture;
    const leaving = fleet.entries[2]!;
    let isStopped = false;
    const exit = fleet
      .process(leaving)
      .terminate()
      .then((code) => {
        isStopped = true;
        return code;
      });
    const results: number[] = [];
    const directoryEntry = fleet.entries[0]!;
    let isListed = true;
    // As a caller does, uses the address until the answer that listed it expires.
    const listedUntil = performance.now() + 5_000;
    while (!isStopped && (isListed || performance.now() < listedUntil)) {
      results.push((await fixture.call(leaving, { key: fixture.key.key })).status);
      const res = await fetch(
        `${fleet.callerUrl(directoryEntry)}/.well-known/marigoldbank/addresses`,
      );
      const { addresses } = (await res.json()) as { addresses: string[] };
      isListed = addresses.includes(fleet.callerUrl(leaving).replace('http://', ''));
      await pause(10);
    }
    expect(results.filter((status) => status !== 200)).toEqual([]);
    expect(results.length).toBeGreaterThan(50);
    expect(await exit).toEqual(0);
  });

  it('sends no new requests to a leaving upstream after 3 s, also from an entry isolated from the others', async () => {
    const fixture = await start();
    const { fleet } = fixture;
    const leaving = fixture.upstreams[0]!;
    const [cutEntry] = fleet.entries;
    fleet.partition([cutEntry!], fleet.entries.slice(1));
    leaving.leave();
    const leftAt = performance.now();
    await Promise.all(
      fleet.entries.map((entry) =>
        callUntil(fixture, entry, fixture.key.key, leftAt + LEAVING_BOUND_MS),
      ),
    );
    // Counts received requests: a leaving upstream sheds them, so they do not show as executed.
    const before = leaving.seen.length;
    const end = performance.now() + 1_500;
    await Promise.all(
      fleet.entries.map((entry) => callUntil(fixture, entry, fixture.key.key, end)),
    );
    expect(leaving.seen.length).toEqual(before);
    expect(fixture.upstreams[1]!.executed.length).toBeGreaterThan(0);
  });

  it('runs at most rate x time + burst requests over the fleet while one entry restarts', async () => {
    const rate = 60;
    const burst = 30;
    running = await FleetFixture.start(OPTIONS, [{}, {}, {}], createLists(rate, burst));
    const fixture = running;
    const { fleet } = fixture;
    const startedAt = performance.now();
    const before = fixture.upstreams.flatMap(({ executed }) => executed).length;
    const end = startedAt + 6_000;
    const load = fleet.entries.flatMap((entry) => [
      callUntil(fixture, entry, fixture.key.key, end),
      callUntil(fixture, entry, fixture.key.key, end),
    ]);
    await pause(1_500);
    await fleet.process(fleet.entries[1]!).kill();
    fleet.process(fleet.entries[1]!).start();
    await Promise.all(load);
    const elapsedS = (performance.now() - startedAt) / 1_000;
    const executedCount = fixture.upstreams.flatMap(({ executed }) => executed).length - before;
    expect(executedCount).toBeLessThanOrEqual(Math.floor(rate * elapsedS + burst));
    expect(executedCount).toBeGreaterThan((rate * elapsedS) / 2);
  });
});
