/**
 * Guards against the end of a member whose disk is full: the process ended at the first refused write, was started again
 * and ended again, and with it went a voter that still held all that it had acknowledged.
 */
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { SimulatedGroup } from './SimulatedGroup.js';
import type { SimulatedVm } from './SimulatedVm.js';

const LIMIT_MS = 20_000;

async function startGroup(seed: number, vms: number): Promise<SimulatedGroup> {
  const group = new SimulatedGroup({ seed, vms });
  group.startAll();
  await group.runUntil(() => (group.isRepaired ? true : undefined), LIMIT_MS);
  return group;
}

/** Proposes at the current leader until a change is committed, as an operator does. */
async function commit(group: SimulatedGroup, limitMs: number): Promise<boolean> {
  const end = group.clock.now() + limitMs;
  const outcomes: string[] = [];
  while (!outcomes.includes('committed') && group.clock.now() < end) {
    const log = group.leader?.running;
    if (log !== undefined) {
      group.propose(log).then(
        (kind) => outcomes.push(kind),
        () => undefined,
      );
    }
    await group.run(200);
  }
  return outcomes.includes('committed');
}

async function read(group: SimulatedGroup, vm: SimulatedVm): Promise<string | undefined> {
  const results: string[] = [];
  group
    .read(vm.running!)
    .then((kind) => results.push(kind))
    .catch(() => undefined);
  return group.runUntil(() => results[0], 2_000);
}

describe('a member whose disk is full', () => {
  [3, 5].forEach((vms) => {
    [1, 2, 3].forEach((seed) => {
      it(`lets another one lead, and stores what it missed when it has space (${vms} members, seed ${seed})`, async () => {
        const group = await startGroup(seed, vms);
        await commit(group, 2_000);
        const former = group.leader!;
        former.setDiskFull(true);
        expect(await commit(group, 4_000)).toEqual(true);
        await group.run(2_000);
        expect(group.leader === former).toEqual(false);
        expect(await commit(group, 4_000)).toEqual(true);
        expect(await read(group, group.leader!)).toEqual('confirmed');
        former.setDiskFull(false);
        await group.run(3_000);
        expect(former.running).not.toEqual(undefined);
        expect(former.disk.lastIndex).toEqual(group.leader!.disk.lastIndex);
        group.checkDisks();
        expect(group.history.violations).toEqual([]);
      });
    });
  });

  it('is not replaced as the leader by one whose disk is full as well, and confirms reads', async () => {
    const group = await startGroup(4, 3);
    await commit(group, 2_000);
    await group.run(1_000);
    const { leader } = group;
    group.vms.forEach((vm) => vm.setDiskFull(true));
    expect(await commit(group, 3_000)).toEqual(false);
    expect(group.leader === leader).toEqual(true);
    expect(await read(group, leader!)).toEqual('confirmed');
    group.vms.forEach((vm) => vm.setDiskFull(false));
    expect(await commit(group, 4_000)).toEqual(true);
    group.checkDisks();
    expect(group.history.violations).toEqual([]);
  });

  it('holds after a crash what it acknowledged before', async () => {
    const group = await startGroup(5, 3);
    await commit(group, 2_000);
    const [first, ...others] = group.vms;
    const { lastIndex } = first!.disk;
    first!.setDiskFull(true);
    await commit(group, 4_000);
    group.vms.forEach((vm) => vm.crash());
    expect(first!.disk.lastIndex).toEqual(lastIndex);
    others.forEach((vm) => vm.start());
    first!.start();
    expect(await commit(group, 6_000)).toEqual(true);
    await group.run(2_000);
    expect(group.history.violations).toEqual([]);
  });
});
