/** Worker thread: takes one run at a time and answers with its result. */
import { parentPort } from 'node:worker_threads';
import { runOne, type RunSpec } from './run-one.js';

parentPort?.on('message', (spec: RunSpec) => {
  parentPort?.postMessage(runOne(spec));
});
