/** Baseline limiters to compare `FleetBudgets` with. */
export { CentralCounterBudgets } from './baselines/CentralCounterBudgets.js';
export { StaticShareBudgets } from './baselines/StaticShareBudgets.js';
