/** Public API of fleet-wide budgets. */
export { FleetBudgets, type FleetBudgetsOptions } from './FleetBudgets.js';
export * from './types.js';
