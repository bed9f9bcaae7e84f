/**
 * A core machine is replaced as planned: the new one first, then SIGTERM. Later than `catch_up` after the start of the successor
 * and after the removal, a second core machine, the only one that is lost then, loses its disk.
 */
/* eslint-disable n/no-process-exit -- the exit code is the result of the case */
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import * as f from '../fleet.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const record = new f.Record(path.dirname(fileURLToPath(import.meta.url)));

/** Bounds of a small deployment, from SYSTEM.md. */
const CATCH_UP_MS = 4_000;
/** Kept above the bound, so that it is over by any clock. */
const MARGIN_MS = 200;
/** The machine that loses its disk is off for this long (`after_ack_wipe`, for_s at most 3). */
const OFF_MS = 1_500;
/** For which the operator asks: above `recovery` (15 s), `catch_up` and `contact` together. */
const READ_MS = 40_000;

const ROUTES = [{ prefix: '/order/', kind: 'unsafe', service: 'orders' }];

async function main() {
  const fleet = await f.Fleet.start(record, { controls: 3, entries: 1, spares: 1 });
  const nodes = [...fleet.controls, ...fleet.spareControls];
  const nodeOf = (address) => `core-${nodes.indexOf(address) + 1}`;
  try {
    if (!(await f.putConfig(fleet, f.configuration(1, ROUTES), record))) return 2;
    if (!(await f.until(() => f.allReady(fleet), 20_000))) return 2;
    // Past the start, so that no machine counts as lost any more.
    await f.sleep(CATCH_UP_MS + 1_000);
    const leader = await f.leaderAddress(fleet.controls);
    if (leader === undefined) return 2;
    const [old, second] = fleet.controls.filter((address) => address !== leader);

    fleet.startMachine('core-4');
    await f.sleep(CATCH_UP_MS + MARGIN_MS);
    record.line('the successor, core-4, has had catch_up');
    await fleet.endMachine(nodeOf(old), 'SIGTERM');
    record.line(`${nodeOf(old)} is removed for good, and counts no more`);
    const removedAt = performance.now();
    if (!(await f.putConfig(fleet, f.configuration(2, ROUTES), record))) return 2;
    await f.sleep(Math.max(0, removedAt + CATCH_UP_MS + MARGIN_MS - performance.now()));
    record.line('catch_up and contact have passed since the removal, too');

    if (HAS_TROUBLE) {
      await fleet.endMachine(nodeOf(second), 'SIGKILL');
      fleet.loseDisk(nodeOf(second));
      await f.sleep(OFF_MS);
      fleet.startMachine(nodeOf(second));
    }
    const end = performance.now() + READ_MS;
    while (performance.now() < end) {
      if ((await f.readVersion(nodes, record)) >= 2) {
        // It has to be there once everything has settled, too.
        await f.sleep(8_000);
        return (await f.readVersion(nodes, record)) >= 2 ? 0 : 1;
      }
      await f.sleep(1_000);
    }
    record.line(
      `r2 was acknowledged, and no node reads it back for ${READ_MS} ms after the last disruption`,
    );
    return 1;
  } finally {
    await fleet.stop();
  }
}

const code = await main().catch((err) => {
  record.line(`the case could not run: ${err.stack}`);
  return 2;
});
record.line(`exit ${code}`);
process.exit(code);
