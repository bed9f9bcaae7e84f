/** Formats the results of the experiments as a Markdown report. */
import type { BudgetFigures } from './BudgetModel.js';
import { budgetRows } from './budgets.js';
import { SCENARIOS } from './scenarios.js';
import type { CurvePoint, Summary } from './summary.js';

const COLUMNS = [
  'service',
  'version',
  'detection median / worst (ms)',
  'not found',
  'false ejections (fleet)',
  'false ejections (single entry)',
  'worst team answered',
  'worst team p99 (ms)',
  'refused',
  'added p50 / p99 (ms)',
  'retries per request',
];

const BUDGET_COLUMNS = [
  'experiment',
  'version',
  'seeds',
  'refused within the rate (worst)',
  'requests above rate and burst',
  'wait p50 / p99 (ms)',
];

function percent(share: number): string {
  return `${(share * 100).toFixed(2)}%`;
}

function ms(value: number | null): string {
  return value === null ? '-' : value.toFixed(value < 100 ? 1 : 0);
}

function row(cells: readonly string[]): string {
  return `| ${cells.join(' | ')} |`;
}

function table(columns: readonly string[], rows: readonly (readonly string[])[]): string {
  return [row(columns), row(columns.map(() => '---')), ...rows.map(row)].join('\n');
}

function cellsOf(summary: Summary): string[] {
  return [
    summary.deployment,
    summary.variant,
    `${ms(summary.detectionMedianMs)} / ${ms(summary.detectionWorstMs)}`,
    `${summary.undetected}`,
    `${summary.falseEjections}`,
    `${summary.falseAvoidances}`,
    percent(summary.worstTeamShare),
    ms(summary.worstTeamP99Ms),
    percent(summary.refusedShare),
    `${ms(summary.addedP50Ms)} / ${ms(summary.addedP99Ms)}`,
    summary.retriesPerRequest.toFixed(4),
  ];
}

function extraLines(summary: Summary): string[] {
  const { scenario, deployment, variant } = summary;
  const lines = [
    scenario === 'poison'
      ? `${summary.crashes} crashes, ${summary.innocentsQuarantined} innocent requests quarantined`
      : '',
    scenario === 'rolling-drain'
      ? `${summary.workAfterLeaving} requests begun over 3 s after leaving`
      : '',
    scenario === 'bad-reporter'
      ? `reporter suspected in ${summary.suspected} of ${summary.seeds} runs`
      : '',
  ];
  return lines.filter((line) => line !== '').map((line) => `- ${deployment}, ${variant}: ${line}`);
}

function curveTable(points: readonly CurvePoint[]): string {
  return table(
    [
      'value',
      '5x slow median / worst (ms)',
      '30% failed median / worst (ms)',
      'not found',
      'false ejections per hour',
    ],
    points.map((point) => [
      `${point.value}`,
      `${ms(point.slowMedianMs)} / ${ms(point.slowWorstMs)}`,
      `${ms(point.failingMedianMs)} / ${ms(point.failingWorstMs)}`,
      `${point.undetected}`,
      `${point.falseEjectionsPerHour.toFixed(1)} in ${point.noiseMinutes.toFixed(0)} min`,
    ]),
  );
}

export interface ReportInput {
  readonly command: string;
  readonly summaries: readonly Summary[];
  readonly curves: readonly {
    readonly title: string;
    readonly points: readonly CurvePoint[];
    readonly file: string;
  }[];
  readonly budgets: readonly BudgetFigures[];
  readonly misses: readonly string[];
}

export function writeReport({ command, summaries, curves, budgets, misses }: ReportInput): string {
  const sections = SCENARIOS.flatMap((scenario) => {
    const scenarioSummaries = summaries.filter(({ scenario: name }) => name === scenario.name);
    if (scenarioSummaries.length === 0) return [];
    const [{ seeds, simulatedMinutes }] = scenarioSummaries as [Summary];
    const length = `${seeds} seeds, ${simulatedMinutes.toFixed(1)} simulated minutes per version`;
    const heading = `## ${scenario.name}\n\n${scenario.title}. ${length}.`;
    return [
      heading,
      table(COLUMNS, scenarioSummaries.map(cellsOf)),
      scenarioSummaries.flatMap(extraLines).join('\n'),
    ];
  });
  const missedLines = misses.length === 0 ? ['none'] : misses;
  return [
    '# Experiments',
    `Command: \`${command}\``,
    '## Missed targets',
    missedLines.map((line) => `- ${line}`).join('\n'),
    ...sections,
    ...(budgets.length === 0 ? [] : ['## Budgets', table(BUDGET_COLUMNS, budgetRows(budgets))]),
    ...curves.flatMap(({ title, points, file }) => [
      `## ${title}`,
      curveTable(points),
      `![${title}](${file})`,
    ]),
  ]
    .filter((part) => part !== '')
    .join('\n\n');
}
