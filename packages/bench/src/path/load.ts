/** Generates load on one address, as fast as the connections allow or at a fixed rate. */
import { setTimeout as sleep } from 'node:timers/promises';
import { TEST_KEY } from '@marigoldbank/daemon/testing/EntryFixture';
import { Pool } from 'undici';
import type { PhaseResult } from './types.js';

const US_PER_MS = 1_000;
const MS_PER_SECOND = 1_000;
const TICK_MS = 1;

interface Samples {
  readonly latenciesUs: number[];
  failures: number;
}

async function sendOne(pool: Pool, samples: Samples, intendedAt: number): Promise<void> {
  try {
    const headers = { authorization: `Bearer ${TEST_KEY}` };
    const res = await pool.request({ path: '/orders/7', method: 'GET', headers });
    await res.body.dump();
    if (res.statusCode === 200) {
      samples.latenciesUs.push((performance.now() - intendedAt) * US_PER_MS);
      return;
    }
  } catch {
    // Counted below.
  }
  Object.assign(samples, { failures: samples.failures + 1 });
}

async function withPool(
  address: string,
  connections: number,
  run: (pool: Pool, samples: Samples) => Promise<void>,
): Promise<PhaseResult> {
  const pool = new Pool(`http://${address}`, { connections, pipelining: 1 });
  const samples: Samples = { latenciesUs: [], failures: 0 };
  const startedAt = performance.now();
  await run(pool, samples);
  const durationMs = performance.now() - startedAt;
  await pool.close();
  const requests = samples.latenciesUs.length;
  return { ...samples, requests, durationMs };
}

/** Closed loop: each connection sends its next request when the previous one is answered. */
export function saturate(
  address: string,
  connections: number,
  durationMs: number,
): Promise<PhaseResult> {
  return withPool(address, connections, async (pool, samples) => {
    const endAt = performance.now() + durationMs;
    const loop = async (): Promise<void> => {
      while (performance.now() < endAt) await sendOne(pool, samples, performance.now());
    };
    await Promise.all(Array.from({ length: connections }, loop));
  });
}

/** Open loop at a fixed rate. Latency is measured from the intended send time, so that stalls are not hidden. */
export function sendAtRate(
  address: string,
  connections: number,
  ratePerSecond: number,
  durationMs: number,
): Promise<PhaseResult> {
  return withPool(address, connections, async (pool, samples) => {
    const intervalMs = MS_PER_SECOND / ratePerSecond;
    const startedAt = performance.now();
    const total = Math.floor(durationMs / intervalMs);
    const running: Promise<void>[] = [];
    while (running.length < total) {
      const dueCount = Math.min(total, Math.floor((performance.now() - startedAt) / intervalMs));
      while (running.length < dueCount) {
        running.push(sendOne(pool, samples, startedAt + running.length * intervalMs));
      }
      await sleep(TICK_MS);
    }
    await Promise.all(running);
  });
}
