/**
 * A core machine returns with an empty disk; as it is up again, the machine that leads is killed and comes back. When no machine
 * counts as lost any more, another one is off for some seconds, and an order of the operator meanwhile shows whether the
 * system has its tolerance back; if it has, the same is tried again. At last a second machine loses its disk.
 */
/* eslint-disable n/no-process-exit -- the exit code is the result of the case */
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import * as f from '../fleet.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const record = new f.Record(path.dirname(fileURLToPath(import.meta.url)));

/** Bounds of a small deployment, from SYSTEM.md. */
const CATCH_UP_MS = 4_000;
const ACK_MS = 4_000;
/** Kept above the bounds. */
const MARGIN_MS = 800;
/** A machine that loses its disk is off for this long (`after_ack_wipe`, for_s 3). */
const OFF_MS = 1_000;
const ATTEMPTS = 4;
const READ_MS = 30_000;

const ROUTES = [{ prefix: '/order/', kind: 'unsafe', service: 'orders' }];

async function main() {
  const fleet = await f.Fleet.start(record, { controls: 3, entries: 1 });
  const nodeOf = (address) => `core-${fleet.controls.indexOf(address) + 1}`;
  let version = 0;
  const put = (withinMs) => {
    version += 1;
    return f.putConfig(fleet, f.configuration(version, ROUTES), record, withinMs);
  };
  const lose = async (address) => {
    await fleet.endMachine(nodeOf(address), 'SIGKILL');
    fleet.loseDisk(nodeOf(address));
    await f.sleep(OFF_MS);
    fleet.startMachine(nodeOf(address));
  };
  try {
    if (!(await put(20_000))) return 2;
    if (!(await f.until(() => f.allReady(fleet), 20_000))) return 2;
    await f.sleep(CATCH_UP_MS + MARGIN_MS);
    let other;
    let isTolerant = true;
    for (let attempt = 1; attempt <= ATTEMPTS && isTolerant; attempt += 1) {
      const leader = await f.leaderAddress(fleet.controls);
      if (leader === undefined) return 2;
      const [wiped, ...rest] = fleet.controls.filter((address) => address !== leader);
      [other] = rest;
      record.line(
        `attempt ${attempt}: leader ${nodeOf(leader)}, ${nodeOf(wiped)} is to lose its disk`,
      );
      if (HAS_TROUBLE) {
        await lose(wiped);
        if (!(await f.until(() => f.isAccepting(wiped), 10_000, 5))) return 2;
        record.line(`${nodeOf(wiped)} accepts calls again; ${nodeOf(leader)} is killed`);
        // The platform starts its processes again after 0.3 s.
        fleet.machine(nodeOf(leader)).forEach((daemon) => daemon.signal('SIGKILL'));
        if (!(await put(15_000))) return 2;
        await f.sleep(CATCH_UP_MS + MARGIN_MS);
      }
      record.line(`no machine counts as lost; ${nodeOf(other)} is off for a moment`);
      await fleet.endMachine(nodeOf(other), 'SIGKILL');
      isTolerant = await put(ACK_MS);
      fleet.startMachine(nodeOf(other));
      if (!isTolerant && !(await put(15_000))) return 2;
      await f.sleep(CATCH_UP_MS + MARGIN_MS);
      if (!HAS_TROUBLE) break;
    }
    const acknowledged = version;
    record.line(
      `r${acknowledged} is the newest version that was acknowledged; no machine counts as lost`,
    );
    if (HAS_TROUBLE) await lose(other);
    const end = performance.now() + READ_MS;
    while (performance.now() < end) {
      if ((await f.readVersion(fleet.controls, record)) >= acknowledged) return 0;
      await f.sleep(1_000);
    }
    record.line(
      `r${acknowledged} was acknowledged, and no node reads it back for ${READ_MS} ms after the last disruption`,
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
