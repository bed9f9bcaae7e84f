/** The command `decisions`: runs the seeded experiments of the decision code and writes the report. */
import { mkdirSync, writeFileSync } from 'node:fs';
import path from 'node:path';
import { defineCommand } from 'citty';
import type { BudgetFigures } from './BudgetModel.js';
import { BUDGET_SCENARIOS, findMissedBudgetGoals, runBudgets } from './budgets.js';
import { DEPLOYMENTS } from './deployments.js';
import { DETECTION_CURVE, planDetectionCurve, planScenarios, seedsOf } from './plan.js';
import { plotCurve, plotWorstTeam } from './plots.js';
import { writeReport } from './report.js';
import { runAll } from './run-all.js';
import type { RunResult } from './run-one.js';
import { SCENARIOS } from './scenarios.js';
import { pointsOfCurve, summarizeAll } from './summary.js';
import { findMissedGoals } from './goals.js';

const CURVES = [
  {
    title: 'Detection time and false ejections over the CUSUM threshold',
    parameter: 'cusumThreshold',
    fixed: { gainPerRound: 0.3 },
    file: 'curve-threshold.svg',
  },
  {
    title: 'Detection time and false ejections over the growth per round',
    parameter: 'gainPerRound',
    fixed: { cusumThreshold: 12 },
    file: 'curve-gain.svg',
  },
] as const;

const KNOWN_EXPERIMENTS: readonly string[] = [
  DETECTION_CURVE,
  ...BUDGET_SCENARIOS,
  ...SCENARIOS.map(({ name }) => name),
];

async function writeResults(
  out: string,
  command: string,
  results: readonly RunResult[],
  curveResults: readonly RunResult[],
  budgets: readonly BudgetFigures[],
): Promise<string[]> {
  mkdirSync(out, { recursive: true });
  const summaries = summarizeAll(results);
  const curves =
    curveResults.length === 0
      ? []
      : CURVES.map(({ title, parameter, fixed, file }) => ({
          title,
          file,
          points: pointsOfCurve(curveResults, parameter, fixed),
        }));
  const misses = [...findMissedGoals(summaries), ...findMissedBudgetGoals(budgets)];
  const save = (file: string, text: string): void => writeFileSync(path.join(out, file), text);
  save(
    'decisions.json',
    JSON.stringify({ command, summaries, curves, budgets, misses, results }, null, 1),
  );
  save('decisions.md', writeReport({ command, summaries, curves, budgets, misses }));
  await Promise.all(curves.map(async ({ file, points }) => save(file, await plotCurve(points))));
  if (summaries.length > 0) save('worst-team.svg', await plotWorstTeam(summaries));
  return misses;
}

export const decisionsCommand = defineCommand({
  meta: { name: 'decisions', description: 'Seeded experiments of the decision code' },
  args: {
    experiment: {
      type: 'string',
      description: `Comma-separated names: ${KNOWN_EXPERIMENTS.join(', ')}`,
    },
    seed: { type: 'string', description: 'First seed', default: '1' },
    out: { type: 'string', description: 'Directory for the results', default: 'out' },
    service: {
      type: 'string',
      description: `One of ${DEPLOYMENTS.map(({ name }) => name).join(', ')}; by default two, with --full all`,
    },
    full: { type: 'boolean', description: '20 seeds and all four services', default: false },
  },
  run: async ({ args }) => {
    const experiments = (args.experiment ?? '').split(',').filter((name) => name !== '');
    const known = KNOWN_EXPERIMENTS;
    const unknown = experiments.filter((name) => !known.includes(name));
    const seed = Number(args.seed);
    if (unknown.length > 0) throw new RangeError(`unknown experiment: ${unknown.join(', ')}`);
    if (!Number.isSafeInteger(seed)) throw new RangeError(`not a seed: ${args.seed}`);
    const { service } = args;
    if (service !== undefined && !DEPLOYMENTS.some(({ name }) => name === service)) {
      throw new RangeError(`unknown service: ${service}`);
    }
    const options = { seed, isFull: args.full, experiments, service };
    const hasCurve = experiments.length === 0 || experiments.includes(DETECTION_CURVE);
    const hasScenarios =
      experiments.length === 0 || SCENARIOS.some(({ name }) => experiments.includes(name));
    const chosenBudgets = experiments.length === 0 ? BUDGET_SCENARIOS : experiments;
    const scenarioRuns = hasScenarios ? planScenarios(options) : [];
    const curveRuns = hasCurve ? planDetectionCurve(options) : [];
    console.log(`${scenarioRuns.length + curveRuns.length} runs`);
    const results = await runAll([...scenarioRuns, ...curveRuns]);
    const budgets = await runBudgets(seedsOf(options), chosenBudgets);
    const experimentOption =
      experiments.length === 0 ? '' : ` --experiment ${experiments.join(',')}`;
    const command = `npm run bench -- --seed ${seed}${experimentOption}${service === undefined ? '' : ` --service ${service}`}${args.full ? ' --full' : ''}`;
    const misses = await writeResults(
      args.out,
      command,
      results.slice(0, scenarioRuns.length),
      results.slice(scenarioRuns.length),
      budgets,
    );
    misses.forEach((line) => console.log(`missed: ${line}`));
    console.log(`results in ${path.join(args.out, 'decisions.md')}`);
  },
});
