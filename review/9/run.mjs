/** The first configuration has version r0. */
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { runCase } from '../case-2.mjs';
import { clientHeaders, makeConfiguration, send, sleep } from '../client-2.mjs';
import { Target } from '../target-2.mjs';

const CONFIG_APPLY_MS = 2_000;
/** The operator reads for longer than `contact` at the end of a day. */
const READ_MS = 12_000;

async function play({ fleet, record, hasTrouble }) {
  await fleet.start();
  const version = hasTrouble ? 0 : 1;
  const document = makeConfiguration(version);
  const put = await fleet.order('config.put', document);
  record(`configuration r${version}: ${put.status}`);
  if (put.status !== 200) return 2;
  const target = new Target(fleet);
  await target.start();
  await sleep(CONFIG_APPLY_MS);
  const until = performance.now() + READ_MS;
  let read;
  let i = 0;
  do {
    const machine = fleet.controls[i % fleet.controls.length];
    i += 1;
    read = await fleet.rpc(machine, 'config.get', '');
    record(`operator: config.get at ${machine.name} -> ${read.status}`);
    if (read.status !== 200) await sleep(500);
  } while (read.status !== 200 && performance.now() < until);
  const isHeld = read.status === 200 && read.body === document;
  const front = fleet.address(fleet.entries[0], 'front');
  const res = await send(front, 'GET', '/view/a', { headers: clientHeaders('view-a') });
  record(`client gets view-a -> ${res.status}`);
  record(`the acknowledged configuration is ${isHeld ? 'read back' : 'gone'}`);
  return isHeld ? 0 : 1;
}

await runCase(path.dirname(fileURLToPath(import.meta.url)), { controls: 3, entries: 2 }, play);
