/** Public API of at-most-once claims. */
export { ClaimRegistry, type ClaimRegistryOptions } from './ClaimRegistry.js';
export * from './types.js';
