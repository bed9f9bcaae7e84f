/** Plans of thousands of routes in the replicated log, in virtual time. */
import { createHash } from 'node:crypto';
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { makeRoute } from '@marigoldbank/routing/fixtures';
import { FakeControlGroup } from '../testing/FakeControlGroup.js';
import type { ByteCosts } from '../testing/MessageBytes.js';
import { OperatorClient, type OperatorCallResult } from '../testing/OperatorClient.js';
import { GET_TARGET, PUT_TARGET } from '../testing/VersionAdapter.js';

/**
 * Half of the core of a small control VM, and what a plan of 1,636 routes (272 kB, a plain command of 676 kB) takes on a whole one: 6.6 ms to
 * compress and send the command, 2.7 ms to receive and store it, 14 ms to apply it, at the log process and its hub together.
 */
const COSTS: ByteCosts = { share: 0.2, sendMs: 10, receiveMs: 4, applyMs: 50 };

const VOTERS = 5;

const CHANGES = 25;
const CHANGE_INTERVAL_MS = 60;

const GIVE_UP_MS = 60_000;

/** A valid configuration is acknowledged within 4 s, and 3 ms more for each route. */
const ackMs = (routes: number): number => 4_000 + 3 * routes;

/** A read is answered within the time that an operator repeats it. */
const READ_MS = 4_000;

/** Names without a pattern, as operators' names of routes compress badly. */
function nameOf(i: number): string {
  return createHash('sha256').update(String(i)).digest('base64url').slice(0, 8);
}

function makeDocument(version: number, routes: number): string {
  const items = Array.from({ length: routes }, (_, i) =>
    makeRoute({ name: `route-${nameOf(i)}`, prefix: `/${nameOf(-i)}/` }),
  );
  return `${version}\n${JSON.stringify(items)}`;
}

interface Outcome {
  readonly slowestAckMs: number;
  readonly read: OperatorCallResult;
}

/** Sends changes one shortly after the other, and reads back what is in force right after the last one. */
async function change(vms: number, routes: number): Promise<Outcome> {
  const group = await FakeControlGroup.start(vms, 1, VOTERS, COSTS);
  const { clock, random } = group;
  const operator = new OperatorClient({
    clock,
    random,
    addresses: () => group.vms.map(({ address }) => address),
    send: (address, target, body) => group.send(address, target, body),
  });
  const changes: Promise<OperatorCallResult>[] = [];
  await Array.from({ length: CHANGES }).reduce(async (earlier: Promise<void>, _, i) => {
    await earlier;
    changes.push(operator.call(PUT_TARGET, makeDocument(i + 1, routes), GIVE_UP_MS));
    await group.advance(CHANGE_INTERVAL_MS);
  }, Promise.resolve());
  const read = await group.settle(operator.call(GET_TARGET, '', GIVE_UP_MS));
  const results = await group.settle(Promise.all(changes));
  return { slowestAckMs: Math.max(...results.map(({ tookMs }) => tookMs)), read };
}

// Log processes were saturated by commands that hold the whole plan, sent to each member more than once: reads got no answer
// and changes no acknowledgement for seconds.
describe('changes of large plans one after the other', () => {
  [10, 20].forEach((vms) => {
    [20, 1_636, 3_272].forEach((routes) => {
      const outcome = change(vms, routes);
      // Each of the two tests reports a failure itself.
      outcome.catch(() => undefined);
      const name = `${routes} routes, ${vms} control VMs`;

      it(`are acknowledged in time: ${name}`, async () => {
        const { slowestAckMs } = await outcome;
        expect(slowestAckMs).toBeLessThan(ackMs(routes));
      });

      it(`leave time to answer a read: ${name}`, async () => {
        const { read } = await outcome;
        expect([read.reply?.status, read.tookMs < READ_MS]).toEqual([200, true]);
      });
    });
  });
});
