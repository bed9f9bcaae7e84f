/** Public API of ejection and target selection. */
export * from './types.js';
