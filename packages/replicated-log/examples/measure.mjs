/** Measures the throughput of commits and the time of restarts on FileLogStorage. Run: node examples/measure.mjs */
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { findLeader, openGroup } from './localGroup.mjs';

const COMMAND = Buffer.alloc(300, 'c');

const MS_PER_S = 1_000;

/** Restarts are measured without snapshots, so that every entry is read again. */
const TUNING = { snapshotEveryEntries: 1_000_000 };

/** Commits `count` commands with `concurrency` outstanding. */
async function commit(log, count, concurrency) {
  let started = 0;
  const worker = async () => {
    while (started < count) {
      started += 1;
      const { kind } = await log.propose(COMMAND);
      if (kind !== 'committed') throw new Error(`a proposal ended as ${kind}`);
    }
  };
  await Promise.all(Array.from({ length: concurrency }, worker));
}

async function timed(fn) {
  const startedAt = performance.now();
  await fn();
  return performance.now() - startedAt;
}

const print = (...parts) => process.stdout.write(`${parts.join(' ')}\n`);

const root = await mkdtemp(path.join(tmpdir(), 'measure-'));

async function closeAll(group) {
  await Promise.all(group.map(({ log }) => log.close()));
}

async function measure(count, concurrency) {
  const folder = path.join(root, `${count}-${concurrency}`);
  const group = await openGroup(folder, TUNING);
  const { log } = await findLeader(group);
  await commit(log, 1, 1);
  const commitMs = await timed(() => commit(log, count, concurrency));
  await closeAll(group);
  let reopened = [];
  const openMs = await timed(async () => {
    reopened = await openGroup(folder, TUNING);
  });
  const readMs = await timed(async () => {
    const leader = await findLeader(reopened);
    await leader.log.confirmRead();
  });
  await closeAll(reopened);
  const rate = Math.round((count * MS_PER_S) / commitMs);
  print(
    `${count} commands of ${COMMAND.length} bytes, ${concurrency} outstanding:`,
    `${rate} commits/s, all three folders opened in ${Math.round(openMs)} ms,`,
    `first confirmed read ${Math.round(readMs)} ms later`,
  );
}

await measure(1_000, 1);
await measure(1_000, 64);
await measure(10_000, 1);
await measure(10_000, 64);
await rm(root, { recursive: true });
