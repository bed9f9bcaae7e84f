/** Aggregates the figures of runs with different seeds. */
import type { RunFigures } from './Measures.js';
import type { RunResult } from './run-one.js';

export interface Summary {
  readonly scenario: string;
  readonly deployment: string;
  readonly variant: string;
  readonly seeds: number;
  readonly simulatedMinutes: number;
  readonly requests: number;
  readonly detectionMedianMs: number | null;
  readonly detectionWorstMs: number | null;
  readonly undetected: number;
  readonly falseEjections: number;
  readonly falseAvoidances: number;
  /** Worst value over the seeds; so are the next three. */
  readonly worstTeamShare: number;
  readonly worstTeamP99Ms: number;
  readonly answeredShare: number;
  readonly refusedShare: number;
  readonly addedP50Ms: number;
  readonly addedP99Ms: number;
  readonly retriesPerRequest: number;
  readonly attemptsPerRequest: number;
  readonly crashes: number;
  readonly innocentsQuarantined: number;
  readonly workAfterLeaving: number;
  readonly suspected: number;
}

export function median(values: readonly number[]): number | null {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor((sorted.length - 1) / 2)] ?? null;
}

function summarize(results: readonly RunResult[]): Summary {
  const [{ scenario, deployment, variant }] = results as [RunResult];
  const valuesOf = (key: keyof RunFigures): number[] =>
    results.map(({ figures }) => figures[key] as number);
  const sum = (key: keyof RunFigures): number =>
    valuesOf(key).reduce((total, value) => total + value, 0);
  const largest = (key: keyof RunFigures): number => Math.max(...valuesOf(key));
  const detection = results.flatMap(({ figures }) => figures.detectionMs);
  return {
    scenario,
    deployment,
    variant,
    seeds: results.length,
    simulatedMinutes: results.reduce((total, { durationMs = 0 }) => total + durationMs / 60_000, 0),
    requests: sum('requests'),
    detectionMedianMs: median(detection),
    detectionWorstMs: detection.length === 0 ? null : Math.max(...detection),
    undetected: sum('undetected'),
    falseEjections: sum('falseEjections'),
    falseAvoidances: sum('falseAvoidances'),
    worstTeamShare: Math.min(...valuesOf('worstTeamShare')),
    worstTeamP99Ms: largest('worstTeamP99Ms'),
    answeredShare: Math.min(...valuesOf('answeredShare')),
    refusedShare: largest('refusedShare'),
    addedP50Ms: median(valuesOf('addedP50Ms')) ?? 0,
    addedP99Ms: median(valuesOf('addedP99Ms')) ?? 0,
    retriesPerRequest: largest('retriesPerRequest'),
    attemptsPerRequest: largest('attemptsPerRequest'),
    crashes: sum('crashes'),
    innocentsQuarantined: sum('innocentsQuarantined'),
    workAfterLeaving: sum('workAfterLeaving'),
    suspected: results.filter(({ figures }) => figures.suspectedMs !== null).length,
  };
}

/** One summary for each scenario, deployment and variant, in the order of the runs. */
export function summarizeAll(results: readonly RunResult[]): Summary[] {
  const groups = new Map<string, RunResult[]>();
  results.forEach((result) => {
    const key = [result.scenario, result.deployment, result.variant].join(' / ');
    groups.set(key, [...(groups.get(key) ?? []), result]);
  });
  return [...groups.values()].map(summarize);
}

export interface CurvePoint {
  readonly parameter: 'cusumThreshold' | 'gainPerRound';
  readonly value: number;
  readonly slowMedianMs: number | null;
  readonly slowWorstMs: number | null;
  readonly failingMedianMs: number | null;
  readonly failingWorstMs: number | null;
  readonly undetected: number;
  readonly falseEjectionsPerHour: number;
  readonly noiseMinutes: number;
}

/** Points of the detection curve over one parameter, with the other parameter fixed at its default. */
export function pointsOfCurve(
  results: readonly RunResult[],
  parameter: CurvePoint['parameter'],
  fixed: Readonly<Record<string, number>>,
): CurvePoint[] {
  const onCurve = results.filter(({ parameters }) =>
    Object.entries(fixed).every(([key, value]) => parameters?.[key as 'cusumThreshold'] === value),
  );
  const values = [...new Set(onCurve.map(({ parameters }) => parameters![parameter]!))];
  return values
    .sort((a, b) => a - b)
    .map((value) => {
      const resultsAtValue = onCurve.filter(({ parameters }) => parameters![parameter] === value);
      const detection = (scenario: string): number[] =>
        resultsAtValue
          .filter((r) => r.scenario === scenario)
          .flatMap(({ figures }) => figures.detectionMs);
      const noise = resultsAtValue.filter(({ scenario }) => scenario === 'healthy-noise');
      const minutes = noise.reduce((sum, { durationMs = 0 }) => sum + durationMs / 60_000, 0);
      const falseEjections = noise.reduce((sum, { figures }) => sum + figures.falseEjections, 0);
      const worst = (times: number[]): number | null =>
        times.length === 0 ? null : Math.max(...times);
      return {
        parameter,
        value,
        slowMedianMs: median(detection('slow-target')),
        slowWorstMs: worst(detection('slow-target')),
        failingMedianMs: median(detection('failing-target')),
        failingWorstMs: worst(detection('failing-target')),
        undetected: resultsAtValue.reduce((sum, { figures }) => sum + figures.undetected, 0),
        falseEjectionsPerHour: (falseEjections * 60) / Math.max(1e-9, minutes),
        noiseMinutes: minutes,
      };
    });
}
