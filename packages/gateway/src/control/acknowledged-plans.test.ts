/** Random changes, reads and losses at control VMs in virtual time: no read is older than what was acknowledged before it. */
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { GROWN_COSTS } from '../testing/fake-control-parts.js';
import type { FakeControlVm } from '../testing/fake-control-parts.js';
import { PlanHistory } from '../testing/PlanHistory.js';
import { startOperatorRun } from '../testing/startOperatorRun.js';

const VMS = 5;
const SEEDS = Array.from({ length: 24 }, (_, i) => i + 1);
const STEPS = 14;

/** Largest version that the platform can name. */
const MAX_VERSION = 999_999_999_999_999;

const MAX_PAUSE_MS = 1_500;

/** Time within which all VMs start after a loss of power. */
const SPREAD_MS = 150;

/** Time without losses before the last read. */
const CALM_MS = 5_000;

/** Plays random steps after changes to the first versions. Returns what is wrong with the answers. */
async function play(first: readonly number[], seed: number): Promise<string[]> {
  const run = await startOperatorRun(VMS, seed);
  const { group } = run;
  const { random } = group;
  const history = new PlanHistory(run);
  const versions = [0, 1, 2, 3, 5, 8, MAX_VERSION - 1, MAX_VERSION];
  const work: Promise<void>[] = [];
  const frozen: FakeControlVm[] = [];
  const putAny = (): unknown => work.push(history.put(random.pick(versions)!));
  const putTwo = (): unknown => [putAny(), putAny()];
  const read = (): unknown => work.push(history.read());
  const freezeOne = (): void => {
    const vm = random.pick(group.vms)!;
    group.freeze(vm);
    frozen.push(vm);
  };
  const thawAll = (): void => frozen.splice(0).forEach((vm) => group.thaw(vm));
  const cutSome = (): void => {
    const side = random.sample(group.vms, random.between(1, 2));
    group.cut(
      side,
      group.vms.filter((vm) => !side.includes(vm)),
    );
  };
  const losePower = async (): Promise<void> => {
    thawAll();
    group.cutPower();
    await group.advance(random.int(MAX_PAUSE_MS));
    await group.returnPower(GROWN_COSTS, SPREAD_MS);
  };
  const steps = [
    putAny,
    putAny,
    putTwo,
    read,
    freezeOne,
    thawAll,
    cutSome,
    () => group.healCut(),
    losePower,
  ];
  await group.settle(Promise.all(first.map((version) => history.put(version))));
  if (history.hasAcknowledged) await group.settle(history.read(true));
  for (let i = 0; i < STEPS; i += 1) {
    await random.pick(steps)!();
    await group.advance(random.int(MAX_PAUSE_MS));
  }
  thawAll();
  group.healCut();
  await group.settle(Promise.all(work));
  await group.advance(CALM_MS);
  await group.settle(history.read(history.hasAcknowledged));
  return history.violations.map((violation) => `seed ${seed}: ${violation}`);
}

// The leader reported a first plan of version 0 as committed and stored it nowhere.
describe('a plan that was acknowledged', () => {
  [[0], [MAX_VERSION], [0, 1], []].forEach((first) => {
    it(`is read back, or a newer one: first versions ${first.join(' and ') || 'by chance'}`, async () => {
      const violations = await SEEDS.reduce<Promise<string[]>>(
        async (earlier, seed) => [...(await earlier), ...(await play(first, seed))],
        Promise.resolve([]),
      );
      expect(violations).toEqual([]);
    });
  });
});
