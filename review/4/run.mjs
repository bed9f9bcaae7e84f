/** Gray targets, one at a time, run orders and answer some of them with an error of its own, 503, without saying that it did not run them. */
/* eslint-disable n/no-process-exit -- the exit code is the result of the case */
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import * as f from '../fleet.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const record = new f.Record(path.dirname(fileURLToPath(import.meta.url)));

/** `srv_grey`: one of seven targets at a time (share 0.15) fails 0.4 of its requests for 5 s, its health is good. */
const TARGETS = 7;
const FAILING = 0.4;
const GREY_MS = 5_000;
const CLIENTS = 8;

const ROUTES = [{ prefix: '/order/', kind: 'unsafe', service: 'orders' }];

async function main() {
  const fleet = await f.Fleet.start(record, { controls: 3, entries: 1 });
  const targets = [];
  let grey;
  const answerOf = (i) => () => {
    const fails = i === grey && Math.random() < FAILING;
    return fails
      ? { status: 503, body: 'the warehouse does not answer', delayMs: 60 }
      : { delayMs: 60 };
  };
  try {
    if (!(await f.putConfig(fleet, f.configuration(1, ROUTES), record))) return 2;
    for (let i = 1; i <= TARGETS; i += 1) {
      targets.push(
        await f.Target.start(fleet, record, `i-${i}`, 'orders', `127.0.0.${60 + i}`, answerOf(i)),
      );
    }
    if (!(await f.until(() => f.allReady(fleet), 20_000))) return 2;
    await f.sleep(4_000);
    const answers = new Map();
    const send = async (n, until) => {
      const client = new f.KeptConnection(fleet.fronts[0]);
      for (let i = 1; performance.now() < until; i += 1) {
        const id = `c${n}-${i}`;
        const res = await client.request({
          method: 'POST',
          target: '/order/1',
          headers: f.clientHeaders(id),
          body: 'ice',
        });
        answers.set(id, res.status);
        record.line(
          `${id} answered ${res.status ?? 'no answer'}${res.headers?.['marigoldbank-response-seal'] === undefined ? '' : ' with a seal'}`,
        );
      }
      client.close();
    };
    const until = performance.now() + TARGETS * GREY_MS;
    const sending = Promise.all(Array.from({ length: CLIENTS }, (_, n) => send(n, until)));
    for (let i = 1; i <= TARGETS && HAS_TROUBLE; i += 1) {
      grey = i;
      record.line(`i-${i} turns gray`);
      await f.sleep(GREY_MS);
    }
    await sending;
    const ran = new Set(targets.flatMap((target) => target.ran));
    const broken = [...answers].filter(
      ([id, status]) => [408, 421, 429, 503].includes(status) && ran.has(id),
    );
    const served = [...answers.values()].filter((status) => status === 200).length;
    record.line(
      `orders ${answers.size}, served ${served}; answered as not run, but run: ${broken.map(([id, status]) => `${id} ${status}`).join(', ') || 'none'}`,
    );
    if (served === 0) return 2;
    return broken.length > 0 ? 1 : 0;
  } finally {
    targets.forEach((target) => target.stop());
    await fleet.stop();
  }
}

const code = await main().catch((err) => {
  record.line(`the case could not run: ${err.stack}`);
  return 2;
});
record.line(`exit ${code}`);
process.exit(code);
