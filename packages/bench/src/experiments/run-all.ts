/** Runs many specs on a few worker threads. */
import { Worker } from 'node:worker_threads';
import type { RunResult, RunSpec } from './run-one.js';

/** The machine is shared, so the tool leaves most cores alone. */
const WORKERS = 4;

/** Results in the order of the specs, whichever worker finishes first. */
export async function runAll(specs: readonly RunSpec[]): Promise<RunResult[]> {
  const results = new Array<RunResult>(specs.length);
  let next = 0;
  const runWorker = (): Promise<void> =>
    new Promise((resolve, reject) => {
      const worker = new Worker(new URL('./worker.js', import.meta.url));
      let current = -1;
      const giveNext = (): void => {
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
        giveNext();
      });
      giveNext();
    });
  await Promise.all(Array.from({ length: Math.min(WORKERS, specs.length) }, runWorker));
  return results;
}
