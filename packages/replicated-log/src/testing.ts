/** Test doubles for packages that embed the replicated log. */
export { FakeNetwork, NO_FAULTS } from './FakeNetwork.js';
export type { MessageHandler, NetworkFaults } from './FakeNetwork.js';
export { FakeProcessor } from './FakeProcessor.js';
export { FakeTransport } from './FakeTransport.js';
export { MemoryDisk } from './MemoryDisk.js';
export { MemoryLogStorage } from './MemoryLogStorage.js';
export { ProcessClock } from './simulation/ProcessClock.js';
