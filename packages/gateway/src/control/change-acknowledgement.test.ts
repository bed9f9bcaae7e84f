/** Acknowledgements of changes, and reads, at stable control VMs in virtual time, with operators as the platform has them. */
import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { FakeControlVm } from '../testing/fake-control-parts.js';
import type { FakeControlGroup } from '../testing/FakeControlGroup.js';
import type { OperatorCallResult } from '../testing/OperatorClient.js';
import { startOperatorRun } from '../testing/startOperatorRun.js';

/** Target for a valid change while the control VMs are stable. The platform allows 4 s. */
const ACK_MS = 2_000;

/** Time after the end of a disruption from which on the control VMs count as stable. */
const CONTACT_MS = 3_000;

/** A call takes 1.1 s then, longer than operators wait. */
const TURN_MS = 220;

const SIZES = [7, 11];
const SEEDS = Array.from({ length: 8 }, (_, i) => i + 1);
const CHANGES = Array.from({ length: 8 }, (_, i) => i + 1);

async function forEachSeed(work: (seed: number) => Promise<string[]>): Promise<string[]> {
  return SEEDS.reduce<Promise<string[]>>(
    async (earlier, seed) => [...(await earlier), ...(await work(seed))],
    Promise.resolve([]),
  );
}

function describeLate(
  results: readonly OperatorCallResult[],
  seed: number,
  limitMs: number,
): string[] {
  return results
    .filter(({ reply, tookMs }) => reply?.status !== 200 || tookMs > limitMs)
    .map(
      ({ tookMs, trace }) =>
        `seed ${seed}, ${Math.round(tookMs)} ms: ${trace.slice(0, 4).join(', ')}`,
    );
}

function halfOf(group: FakeControlGroup): FakeControlVm[] {
  return group.followers.slice(0, Math.floor((group.vms.length - 1) / 2));
}

SIZES.forEach((vms) => {
  describe(`changes at ${vms} stable control VMs`, () => {
    // Changes were committed, but only the leader acknowledged them, later than operators wait for an answer.
    it(`are acknowledged within 2 s while the leader is saturated: ${vms} VMs`, async () => {
      const late = await forEachSeed(async (seed) => {
        const { group, put } = await startOperatorRun(vms, seed);
        group.saturate(group.leader, TURN_MS);
        await group.advance(1_000);
        const results = await CHANGES.reduce<Promise<OperatorCallResult[]>>(
          async (earlier, version) => [...(await earlier), await group.settle(put(version))],
          Promise.resolve([]),
        );
        return describeLate(results, seed, ACK_MS);
      });
      expect(late).toEqual([]);
    });

    // Eight orders may be in progress at once; a higher version acknowledges all lower ones.
    it(`are acknowledged within 2 s while the leader is saturated, eight at once: ${vms} VMs`, async () => {
      const late = await forEachSeed(async (seed) => {
        const { group, put } = await startOperatorRun(vms, seed);
        group.saturate(group.leader, TURN_MS);
        await group.advance(1_000);
        const results = await group.settle(Promise.all(CHANGES.map(put)));
        return describeLate(results, seed, ACK_MS);
      });
      expect(late).toEqual([]);
    });

    // Half of the VMs was cut off and hears a saturated leader again, which confirms its leadership late.
    it(`are acknowledged within 2 s after a cut in halves that has ended 3 s ago: ${vms} VMs`, async () => {
      const late = await forEachSeed(async (seed) => {
        const { group, put } = await startOperatorRun(vms, seed);
        const cutOff = halfOf(group);
        const rest = group.vms.filter((vm) => !cutOff.includes(vm));
        group.cut(cutOff, rest);
        await group.advance(4_700);
        group.healCut();
        group.saturate(group.leader, TURN_MS);
        const whileUnstable = put(1);
        await group.advance(CONTACT_MS);
        const startedAt = group.clock.now();
        const result = await group.settle(whileUnstable);
        const early = { ...result, tookMs: group.clock.now() - startedAt };
        const later = await group.settle(put(2));
        return describeLate([early, later], seed, ACK_MS);
      });
      expect(late).toEqual([]);
    });

    // Only the leader answered reads, later than operators wait for an answer.
    it(`are read back within 2 s while the leader is saturated: ${vms} VMs`, async () => {
      const late = await forEachSeed(async (seed) => {
        const { group, put, read } = await startOperatorRun(vms, seed);
        group.saturate(group.leader, TURN_MS);
        await group.advance(1_000);
        return CHANGES.reduce<Promise<string[]>>(async (earlier, version) => {
          const found = await earlier;
          await group.settle(put(version));
          const result = await group.settle(read());
          const isStale = result.reply?.body !== String(version);
          const stale = isStale ? [`seed ${seed}: ${version} is not read`] : [];
          return [...found, ...describeLate([result], seed, ACK_MS), ...stale];
        }, Promise.resolve([]));
      });
      expect(late).toEqual([]);
    });

    it(`are acknowledged within 2 s after the leader has frozen 3 s ago: ${vms} VMs`, async () => {
      const late = await forEachSeed(async (seed) => {
        const { group, put } = await startOperatorRun(vms, seed);
        group.freeze(group.leader);
        const whileUnstable = put(1);
        await group.advance(CONTACT_MS);
        const startedAt = group.clock.now();
        const result = await group.settle(whileUnstable);
        const early = { ...result, tookMs: group.clock.now() - startedAt };
        const later = await group.settle(put(2));
        return describeLate([early, later], seed, ACK_MS);
      });
      expect(late).toEqual([]);
    });
  });
});
