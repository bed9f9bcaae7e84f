/** Lists the runs of each experiment. */
import { DEPLOYMENTS } from './deployments.js';
import type { RunSpec } from './run-one.js';
import { SCENARIOS, type Scenario } from './scenarios.js';

export interface PlanOptions {
  readonly seed: number;
  readonly isFull: boolean;
  /** Restricts the runs to one service. */
  readonly service?: string;
  /** Names of the experiments to run; all if empty. */
  readonly experiments: readonly string[];
}

const FULL_SEEDS = 20;
const DEFAULT_SEEDS = 2;

/** Ten simulated minutes per seed, the length that section 1 of the design page asks for. */
const FULL_NOISE_MS = 600_000;
const NOISE_SCENARIO = 'healthy-noise';

/** Services used by default; `--full` uses all four. */
const DEFAULT_DEPLOYMENTS = ['orders', 'visitor-guide'];

export const CURVE_THRESHOLDS = [2, 4, 8, 12, 16, 24];
export const CURVE_GAINS = [0.2, 0.25, 0.3, 0.5, 1];
export const DETECTION_CURVE = 'detection-curve';
const CURVE_FAULT_MS = 8_000;
const CURVE_NOISE_MS = { default: 30_000, full: 120_000 };

/** Consecutive seeds of the runs, starting with the given one. */
export function seedsOf({ seed, isFull }: PlanOptions): number[] {
  return Array.from({ length: isFull ? FULL_SEEDS : DEFAULT_SEEDS }, (_, i) => seed + i);
}

function deploymentsOf({ isFull, service }: PlanOptions): string[] {
  if (service !== undefined) return [service];
  return isFull ? DEPLOYMENTS.map(({ name }) => name) : DEFAULT_DEPLOYMENTS;
}

function planScenario(scenario: Scenario, options: PlanOptions): RunSpec[] {
  const isLong = scenario.name === NOISE_SCENARIO && options.isFull;
  return deploymentsOf(options).flatMap((deployment) =>
    scenario.variants.flatMap((variant) =>
      seedsOf(options).map((seed) => ({
        scenario: scenario.name,
        deployment,
        variant: variant.name,
        seed,
        // The naive variant runs for the default length of the noise scenario, a tenth of the full one.
        durationMs: isLong && variant.name === 'ours' ? FULL_NOISE_MS : scenario.durationMs,
      })),
    ),
  );
}

/** Runs of the detection curve: each parameter set with a slow target, a failing target and healthy noise. */
export function planDetectionCurve(options: PlanOptions): RunSpec[] {
  const noiseMs = options.isFull ? CURVE_NOISE_MS.full : CURVE_NOISE_MS.default;
  const points = [
    ...CURVE_THRESHOLDS.map((cusumThreshold) => ({ cusumThreshold, gainPerRound: 0.3 })),
    ...CURVE_GAINS.filter((gain) => gain !== 0.3).map((gainPerRound) => ({
      cusumThreshold: 12,
      gainPerRound,
    })),
  ];
  const common = { deployment: 'orders', variant: 'ours' };
  return points.flatMap((parameters) =>
    seedsOf(options).flatMap((seed) => [
      { ...common, scenario: 'slow-target', seed, parameters, durationMs: CURVE_FAULT_MS },
      { ...common, scenario: 'failing-target', seed, parameters, durationMs: CURVE_FAULT_MS },
      { ...common, scenario: NOISE_SCENARIO, seed, parameters, durationMs: noiseMs },
    ]),
  );
}

export function planScenarios(options: PlanOptions): RunSpec[] {
  const { experiments } = options;
  return SCENARIOS.filter(
    ({ name }) => experiments.length === 0 || experiments.includes(name),
  ).flatMap((scenario) => planScenario(scenario, options));
}
