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
import { createLists, Scenario, TEAM } from './FleetFixture.js';

/** Bound on a withdrawn key, counted from the accepted answer. */
const WITHDRAWAL_BOUND_MS = 3_000;

/** Bound on new work for a leaving upstream. */
const LEAVING_BOUND_MS = 3_000;

/** Longer than currency lasts and than it takes to ask the peers. */
const OUTAGE_MS = 6_000;

const OPTIONS: FleetOptions = {
  controlCount: 3,
  entryCount: 5,
  hasRelays: true,
  entriesWithDisk: 1,
};

let running: Scenario | undefined;

async function start(options: Partial<FleetOptions> = {}): Promise<Scenario> {
  running = await Scenario.start({ ...OPTIONS, ...options });
  return running;
}

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Calls an entry again and again until `end` and returns the statuses it gave. */
async function callUntil(
  scenario: Scenario,
  entry: string,
  key: string,
  end: number,
): Promise<number[]> {
  const statuses: number[] = [];
  while (performance.now() < end) {
    statuses.push((await scenario.call(entry, { key })).status);
    await pause(20);
  }
  return statuses;
}

describe('a fleet of processes', () => {
  afterEach(async () => {
    await running?.stop();
    running = undefined;
  });

  it('stops a withdrawn key everywhere, also at an entry cut off and at one frozen before it', async () => {
    const scenario = await start();
    const { fleet, operator } = scenario;
    const spare = await operator.issueKey(TEAM);
    await Promise.all(
      fleet.entries.map((entry) =>
        waitUntil(
          `${entry} knows the key`,
          async () => (await scenario.call(entry, { key: spare.key })).status === 200,
          10_000,
        ),
      ),
    );
    const [isolated, frozen] = fleet.entries;
    const others = [...fleet.controls, ...fleet.entries].filter((vm) => vm !== isolated);
    fleet.separate([isolated!], others);
    fleet.process(frozen!).freeze();
    const result = await operator.withdrawKey(spare.keyId);
    if (result.kind !== 'recorded') throw new Error(`not recorded: ${result.kind}`);
    await operator.waitAccepted(result.revision);
    await pause(WITHDRAWAL_BOUND_MS);
    fleet.process(frozen!).thaw();
    const end = performance.now() + 1_500;
    const statuses = await Promise.all(
      fleet.entries.map((entry) => callUntil(scenario, entry, spare.key, end)),
    );
    expect(statuses.flat().filter((status) => status === 200)).toEqual([]);
    // The team's other key shows that refusals are not just an outage.
    expect((await scenario.call(fleet.entries[4]!, { key: scenario.key.key })).status).toEqual(200);
  });

  it('serves on without control, and a restarted entry learns the configuration from its peers', async () => {
    const scenario = await start();
    const { fleet, operator } = scenario;
    const spare = await operator.issueKey(TEAM);
    const withdrawn = await operator.withdrawKey(spare.keyId);
    if (withdrawn.kind !== 'recorded') throw new Error(`not recorded: ${withdrawn.kind}`);
    await operator.waitAccepted(withdrawn.revision);
    await Promise.all(fleet.controls.map((vm) => fleet.process(vm).kill()));
    await pause(OUTAGE_MS);
    const restarted = fleet.entries[3]!;
    await fleet.process(restarted).kill();
    fleet.process(restarted).start();
    await Promise.all(fleet.entries.map((entry) => scenario.waitServing(entry, 15_000)));
    const answers = await Promise.all(
      fleet.entries.map((entry) => scenario.call(entry, { key: spare.key })),
    );
    expect(answers.map(({ status }) => status)).toEqual(fleet.entries.map(() => 401));
  });

  it('accepts nothing while the fleet is split into equal halves, and records on one side at most', async () => {
    const scenario = await start({ entryCount: 4 });
    const { fleet, operator } = scenario;
    const [c1, c2, c3] = fleet.controls;
    const [e1, e2, e3, e4] = fleet.entries;
    const base = Number((await operator.status()).listsRevision);
    fleet.separate([c1!, c2!, e1!, e2!], [c3!, e3!, e4!]);
    await pause(OUTAGE_MS);
    const change = (rate: number): Change => ({
      kind: 'applyLists',
      changeId: randomUUID(),
      operator: `operator-${rate}`,
      at: new Date().toISOString(),
      baseListsRevision: base,
      lists: {
        ...createLists(rate),
        teams: { [TEAM]: { plan: 'pharmacy', keys: [scenario.key.keyId] } },
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
    const cutOff = await scenario.call(e3!, { key: scenario.key.key });
    expect(cutOff.status).toEqual(503);
    expect(cutOff.verdict).toEqual('not-run');
    fleet.heal();
    await operator.waitAccepted(revision, 10_000);
  });

  it('loses nothing when a second control VM is lost right after a lost disk was replaced', async () => {
    const scenario = await start({ entryCount: 3 });
    const { fleet, operator } = scenario;
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

  it('cuts no request when an entry is terminated', async () => {
    const scenario = await start();
    const { fleet } = scenario;
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
    const asked = fleet.entries[0]!;
    let isGiven = true;
    // As a caller does: uses the address while the answer that gave it is valid.
    const givenUntil = performance.now() + 5_000;
    while (!isStopped && (isGiven || performance.now() < givenUntil)) {
      results.push((await scenario.call(leaving, { key: scenario.key.key })).status);
      const res = await fetch(`${fleet.callerUrl(asked)}/.well-known/marigoldbank/addresses`);
      const { addresses } = (await res.json()) as { addresses: string[] };
      isGiven = addresses.includes(fleet.callerUrl(leaving).replace('http://', ''));
      await pause(10);
    }
    expect(results.filter((status) => status !== 200)).toEqual([]);
    expect(results.length).toBeGreaterThan(50);
    expect(await exit).toEqual(0);
  });

  it('gives a leaving upstream no new work after 3 s, also at an entry cut off from the others', async () => {
    const scenario = await start();
    const { fleet } = scenario;
    const leaving = scenario.upstreams[0]!;
    const [cutEntry] = fleet.entries;
    fleet.separate([cutEntry!], fleet.entries.slice(1));
    leaving.leave();
    const leftAt = performance.now();
    await Promise.all(
      fleet.entries.map((entry) =>
        callUntil(scenario, entry, scenario.key.key, leftAt + LEAVING_BOUND_MS),
      ),
    );
    // Seen, not executed: a leaving upstream sheds what it still gets.
    const before = leaving.seen.length;
    const end = performance.now() + 1_500;
    await Promise.all(
      fleet.entries.map((entry) => callUntil(scenario, entry, scenario.key.key, end)),
    );
    expect(leaving.seen.length).toEqual(before);
    expect(scenario.upstreams[1]!.executed.length).toBeGreaterThan(0);
  });

  it('never lets the fleet run more than rate x length + burst, with one entry restarted', async () => {
    const rate = 60;
    const burst = 30;
    running = await Scenario.start(OPTIONS, [{}, {}, {}], createLists(rate, burst));
    const scenario = running;
    const { fleet } = scenario;
    const startedAt = performance.now();
    const before = scenario.upstreams.flatMap(({ executed }) => executed).length;
    const end = startedAt + 6_000;
    const load = fleet.entries.flatMap((entry) => [
      callUntil(scenario, entry, scenario.key.key, end),
      callUntil(scenario, entry, scenario.key.key, end),
    ]);
    await pause(1_500);
    await fleet.process(fleet.entries[1]!).kill();
    fleet.process(fleet.entries[1]!).start();
    await Promise.all(load);
    const elapsedS = (performance.now() - startedAt) / 1_000;
    const ran = scenario.upstreams.flatMap(({ executed }) => executed).length - before;
    expect(ran).toBeLessThanOrEqual(Math.floor(rate * elapsedS + burst));
    expect(ran).toBeGreaterThan((rate * elapsedS) / 2);
  });
});
