/** Runs one scenario with one deployment, one variant and one seed. */
import type { ProfileParameters } from '@marigoldbank/ejection';
import { DEPLOYMENTS } from './deployments.js';
import { FleetModel } from './FleetModel.js';
import type { RunFigures } from './Measures.js';
import { SCENARIOS } from './scenarios.js';

export interface RunSpec {
  readonly scenario: string;
  readonly deployment: string;
  readonly variant: string;
  readonly seed: number;
  /** Overrides the scenario's length. */
  readonly durationMs?: number;
  readonly parameters?: Partial<ProfileParameters>;
}

export interface RunResult extends RunSpec {
  readonly figures: RunFigures;
}

export function runOne(spec: RunSpec): RunResult {
  const scenario = SCENARIOS.find(({ name }) => name === spec.scenario);
  const deployment = DEPLOYMENTS.find(({ name }) => name === spec.deployment);
  const variant = scenario?.variants.find(({ name }) => name === spec.variant);
  if (scenario === undefined || deployment === undefined || variant === undefined) {
    throw new RangeError(
      `unknown scenario, deployment or variant: ${spec.scenario}, ${spec.deployment}, ${spec.variant}`,
    );
  }
  const { seed, parameters } = spec;
  const fleet = new FleetModel({ deployment, variant, seed, parameters });
  scenario.setUp(fleet);
  fleet.run(spec.durationMs ?? scenario.durationMs);
  const crashes = fleet.targets.reduce((sum, target) => sum + target.crashes, 0);
  const afterLeaving = fleet.targets.reduce((sum, t) => sum + t.startedAfterLeaving, 0);
  return { ...spec, figures: fleet.measures.figures(scenario.greedyTeam, crashes, afterLeaving) };
}
