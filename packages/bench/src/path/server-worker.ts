/** Worker thread of the path benchmark: an upstream, or a naive proxy or entry in front of it. */
import { parentPort, workerData } from 'node:worker_threads';
import { EntryFixture } from '@marigoldbank/daemon/testing/EntryFixture';
import { NaiveProxy } from '@marigoldbank/daemon/testing/NaiveProxy';
import { FakeUpstream } from '@marigoldbank/daemon/testing/FakeUpstream';
import type { WorkerInput } from './types.js';

const BENCH_SLOTS = 10_000;

/** Starts the server and returns its address. */
async function start({ kind, upstream, teams }: WorkerInput): Promise<string> {
  if (kind === 'upstream') {
    const standIn = new FakeUpstream({ service: 'orders', target: 't0' });
    await standIn.listen();
    // The recorded requests would grow without bound.
    setInterval(() => {
      standIn.seen.length = 0;
      standIn.executed.length = 0;
    }, 100);
    return standIn.address;
  }
  if (kind === 'naive') {
    const naive = new NaiveProxy([upstream]);
    await naive.listen();
    return `127.0.0.1:${naive.port}`;
  }
  const entry = await EntryFixture.start({
    addresses: [upstream],
    slots: BENCH_SLOTS,
    extraTeams: teams,
  });
  setInterval(() => {
    entry.pool.outcomes.length = 0;
    entry.pool.succeeded.length = 0;
    entry.queue.teams.length = 0;
  }, 100);
  return `127.0.0.1:${entry.server.port}`;
}

parentPort?.postMessage(await start(workerData as WorkerInput));
