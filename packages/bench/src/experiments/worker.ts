/** Worker thread: receives one spec at a time, runs it and posts the result. */
import { parentPort } from 'node:worker_threads';
import { runOne, type RunSpec } from './run-one.js';

parentPort?.on('message', (spec: RunSpec) => {
  parentPort?.postMessage(runOne(spec));
});
