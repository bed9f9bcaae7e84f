/** Public API of at-most-once claims. */
export * from './types.js';
