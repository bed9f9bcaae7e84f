import { describe, it } from 'node:test';
import { expect } from 'earl';
import { FakeControlGroup } from '../testing/FakeControlGroup.js';
import type { OperatorCallResult } from '../testing/OperatorClient.js';
import { startOperatorRun } from '../testing/startOperatorRun.js';

const VMS = 6;
const SEEDS = [1, 2, 3, 4];
const ORDERS = [1, 2, 3, 4, 5, 6, 7, 8];

/** Bound within which a valid configuration is acknowledged. */
const ACK_MS = 4_000;

const MAX_FREE_MS = 200;

async function inTurn(
  items: readonly number[],
  work: (item: number) => Promise<void>,
): Promise<void> {
  await items.reduce((earlier, item) => earlier.then(() => work(item)), Promise.resolve());
}

/** Orders that are acknowledged late, while each log process pauses for up to `maxPauseMs` again and again. */
async function findLateOrders(maxPauseMs: number): Promise<string[]> {
  const late: string[] = [];
  const isLate = ({ reply, tookMs }: OperatorCallResult): boolean =>
    reply?.status !== 200 || tookMs > ACK_MS;
  await inTurn(SEEDS, async (seed) => {
    const { group, put } = await startOperatorRun(VMS, seed);
    group.keepBusy(maxPauseMs, MAX_FREE_MS);
    await group.advance(3_000);
    await inTurn(ORDERS, async (version) => {
      const result = await group.settle(put(version));
      if (isLate(result)) late.push(`seed ${seed}, ${version}: ${Math.round(result.tookMs)} ms`);
    });
  });
  return late;
}

// Guards against elections one after the other, in which no leader lasts long enough to commit an order.
describe('log processes that pause', () => {
  it('acknowledge orders within 4 s with pauses of up to 200 ms', async () => {
    expect(await findLateOrders(200)).toEqual([]);
  });

  it('acknowledge orders within 4 s with pauses of up to 400 ms', async () => {
    expect(await findLateOrders(400)).toEqual([]);
  });
});

// A leader stepped down although a majority answered all of its heartbeats, since it read the answers late. Its successor has as
// much to do after a loss of power of all control VMs, so that no change was acknowledged for seconds.
describe('a leader that reads the answers of the others late', () => {
  [7, 11].forEach((vms) => {
    it(`goes on leading, at answers that wait up to 1.4 s: ${vms} VMs`, async () => {
      const deposed: string[] = [];
      await inTurn(SEEDS, async (seed) => {
        const group = await FakeControlGroup.start(vms, seed);
        const { leader } = group;
        const { term } = leader.log.status();
        group.saturate(leader, 1_400);
        await group.advance(10_000);
        const { role, term: laterTerm } = leader.log.status();
        if (role !== 'leader' || laterTerm !== term) {
          deposed.push(`seed ${seed}: term ${laterTerm}`);
        }
      });
      expect(deposed).toEqual([]);
    });
  });

  it('steps down when no majority answers any more', async () => {
    const group = await FakeControlGroup.start(VMS, 1);
    const { leader } = group;
    group.saturate(leader, 300);
    group.cut([leader], group.followers);
    await group.advance(300 + 700 + 2 * 150);
    expect(leader.log.status().role).toEqual('follower');
  });
});
