/** `npm run demo`: exits with 0 if every step succeeds, otherwise with 1. */
import { Fleet } from '../process/Fleet.js';
import { Demo } from './Demo.js';

const CONTROL_COUNT = 3;
const ENTRY_COUNT = 3;

const fleet = await Fleet.start({
  controlCount: CONTROL_COUNT,
  entryCount: ENTRY_COUNT,
  hasRelays: false,
});
console.log(`${CONTROL_COUNT} control and ${ENTRY_COUNT} entry processes in three data centres`);
const demo = new Demo(fleet);
let exitCode = 0;
try {
  await demo.run();
} catch (err) {
  console.error(err instanceof Error ? err.message : err);
  exitCode = 1;
} finally {
  await demo.stop();
}
process.exit(exitCode);
