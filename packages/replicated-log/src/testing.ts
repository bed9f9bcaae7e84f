/** Fakes for tests of embedders. */
export { FakeNetwork, PERFECT_NETWORK } from './FakeNetwork.js';
export type { MessageHandler, NetworkFaults } from './FakeNetwork.js';
export { FakeTransport } from './FakeTransport.js';
export { MemoryDisk } from './MemoryDisk.js';
export { MemoryLogStorage } from './MemoryLogStorage.js';
