/** Public API of fair admission. */
export * from './types.js';
export * from './FairQueue.js';
