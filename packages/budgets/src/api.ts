/** Public API of fleet-wide budgets. */
export * from './types.js';
