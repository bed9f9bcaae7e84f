/** Checks results against the goals of section 1 of the design page. */
import type { Summary } from './summary.js';

interface Goal {
  readonly scenarios: readonly string[];
  readonly name: string;
  readonly limit: number;
  readonly unit: string;
  readonly value: (summary: Summary) => number | null;
  readonly isMinimum?: boolean;
}

const DETECTION = ['slow-target', 'failing-target'];
const RESTARTS_AND_SKEW = ['skewed-traffic', 'rolling-restart'];

const GOALS: readonly Goal[] = [
  {
    scenarios: DETECTION,
    name: 'median detection time',
    limit: 1_500,
    unit: 'ms',
    value: (s) => s.detectionMedianMs,
  },
  {
    scenarios: DETECTION,
    name: 'worst detection time',
    limit: 4_000,
    unit: 'ms',
    value: (s) => s.detectionWorstMs,
  },
  {
    scenarios: DETECTION,
    name: 'targets not found',
    limit: 0,
    unit: '',
    value: (s) => s.undetected,
  },
  {
    scenarios: ['healthy-noise', 'cold-starts'],
    name: 'false ejections',
    limit: 0,
    unit: '',
    value: (s) => s.falseEjections,
  },
  {
    scenarios: ['greedy-team'],
    name: 'worst-served team',
    limit: 0.99,
    unit: 'share',
    value: (s) => s.worstTeamShare,
    isMinimum: true,
  },
  {
    scenarios: RESTARTS_AND_SKEW,
    name: 'refused within the rate',
    limit: 0.001,
    unit: 'share',
    value: (s) => s.refusedShare,
  },
  {
    scenarios: ['lost-data-centre'],
    name: 'refused within the rate',
    limit: 0.01,
    unit: 'share',
    value: (s) => s.refusedShare,
  },
  {
    scenarios: ['rolling-drain'],
    name: 'work after 3 s',
    limit: 0,
    unit: '',
    value: (s) => s.workAfterLeaving,
  },
];

const RETRY_GOAL: Goal = {
  scenarios: [],
  name: 'retries per request',
  limit: 0.1,
  unit: '',
  value: (s) => s.retriesPerRequest,
};

/** One line for each goal that the variant `ours` misses, with the difference. */
export function findMissedGoals(summaries: readonly Summary[]): string[] {
  return summaries
    .filter(({ variant }) => variant === 'ours')
    .flatMap((summary) =>
      [
        ...GOALS.filter(({ scenarios }) => scenarios.includes(summary.scenario)),
        RETRY_GOAL,
      ].flatMap(({ name, limit, unit, value, isMinimum = false }) => {
        const figure = value(summary);
        if (figure === null || (isMinimum ? figure >= limit : figure <= limit)) return [];
        const distance = Math.abs(figure - limit);
        const where = `${summary.scenario}, ${summary.deployment}`;
        return [
          `${where}: ${name} ${figure.toPrecision(4)} ${unit}, missed by ${distance.toPrecision(3)}`,
        ];
      }),
    );
}
