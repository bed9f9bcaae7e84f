/** Runs specs on a pool of worker threads. */
import { Worker } from 'node:worker_threads';
import type { RunResult, RunSpec } from './run-one.js';

/** Few threads, because other work runs on the same machine. */
const WORKERS = 4;

/** Runs all specs. The results are in the order of the specs. */
export async function runAll(specs: readonly RunSpec[]): Promise<RunResult[]> {
  const results = new Array<RunResult>(specs.length);
  let next = 0;
  const runWorker = (): Promise<void> =>
    new Promise((resolve, reject) => {
      const worker = new Worker(new URL('./worker.js', import.meta.url));
      let current = -1;
      const sendNextSpec = (): void => {
        if (next >= specs.length) {
          worker.terminate().then(() => resolve(), reject);
          return;
        }
        current = next;
        next += 1;
        worker.postMessage(specs[current]);
      };
      worker.on('error', reject);
      worker.on('message', (result: RunResult) => {
        results[current] = result;
        sendNextSpec();
      });
      sendNextSpec();
    });
  await Promise.all(Array.from({ length: Math.min(WORKERS, specs.length) }, runWorker));
  return results;
}
