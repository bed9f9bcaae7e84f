/** Plays a case and keeps its record. */
import { createWriteStream } from 'node:fs';
import path from 'node:path';
import { Fleet } from './fleet-2.mjs';

const startedAt = performance.now();

/** Opens `record.txt` in the folder of a case. */
function openRecord(folder) {
  const stream = createWriteStream(path.join(folder, 'record.txt'));
  const record = (line) => {
    stream.write(`${((performance.now() - startedAt) / 1_000).toFixed(3)} ${line}\n`);
  };
  const close = () =>
    new Promise((resolve) => {
      stream.end(resolve);
    });
  return { record, close };
}

/**
 * Plays a case with a fleet and sets the exit code: with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
 * `play` gets the fleet, the record and whether there is trouble, and resolves to that code.
 */
export async function runCase(folder, options, play) {
  const { record, close } = openRecord(folder);
  const hasTrouble = process.env.TROUBLE !== '0';
  const fleet = await Fleet.create(record, options);
  let code = 2;
  try {
    code = await play({ fleet, record, hasTrouble });
  } catch (err) {
    record(`the case could not run: ${err.stack}`);
  }
  record(`exit ${code}`);
  await fleet.stop();
  await close();
  process.exitCode = code;
}
