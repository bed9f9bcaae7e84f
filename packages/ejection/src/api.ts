/** Public API of ejection and target selection. */
export * from './types.js';
export * from './Coordinator.js';
export * from './TargetPool.js';
export type { TargetRole } from './TargetState.js';
export * from './RetryBudget.js';
export * from './latency.js';
export * from './profiles.js';
