/** Runs the budget experiments, all scenarios and variants one after the other, and formats their results. */
import {
  BudgetModel,
  type BudgetFigures,
  type BudgetScenario,
  type BudgetVariant,
} from './BudgetModel.js';

export const BUDGET_SCENARIOS: readonly BudgetScenario[] = [
  'budget-even',
  'budget-skew',
  'budget-lost-data-centre',
];

const VARIANTS: readonly BudgetVariant[] = ['lending', 'static rate/N', 'central counter'];

export async function runBudgets(
  seeds: readonly number[],
  scenarios: readonly string[],
): Promise<BudgetFigures[]> {
  const figures: BudgetFigures[] = [];
  const models = BUDGET_SCENARIOS.filter((name) => scenarios.includes(name)).flatMap((scenario) =>
    VARIANTS.flatMap((variant) => seeds.map((seed) => new BudgetModel(scenario, variant, seed))),
  );
  await models.reduce(async (before, model) => {
    await before;
    figures.push(await model.run());
  }, Promise.resolve());
  return figures;
}

function percent(share: number): string {
  return `${(share * 100).toFixed(3)}%`;
}

/** Rows of the report, one per scenario and variant; shares and times are the worst over the seeds. */
export function budgetRows(figures: readonly BudgetFigures[]): string[][] {
  return BUDGET_SCENARIOS.flatMap((scenario) =>
    VARIANTS.flatMap((variant) => {
      const runs = figures.filter((f) => f.scenario === scenario && f.variant === variant);
      if (runs.length === 0) return [];
      const worst = (key: 'wronglyRefusedShare' | 'excess' | 'waitP50Ms' | 'waitP99Ms'): number =>
        Math.max(...runs.map((f) => f[key]));
      return [
        [
          scenario,
          variant,
          `${runs.length}`,
          percent(worst('wronglyRefusedShare')),
          worst('excess').toFixed(1),
          `${worst('waitP50Ms').toFixed(1)} / ${worst('waitP99Ms').toFixed(1)}`,
        ],
      ];
    }),
  );
}

/** Largest allowed share of wrongly refused requests, from section 1 of the design page. */
const MAX_REFUSED_SHARE: Record<BudgetScenario, number> = {
  'budget-even': 0.001,
  'budget-skew': 0.001,
  'budget-lost-data-centre': 0.01,
};

/** One line for each goal that the variant `lending` misses. */
export function findMissedBudgetGoals(figures: readonly BudgetFigures[]): string[] {
  return figures
    .filter(({ variant }) => variant === 'lending')
    .flatMap(({ scenario, seed, wronglyRefusedShare, excess }) => {
      const distance = wronglyRefusedShare - MAX_REFUSED_SHARE[scenario];
      const refused = `${scenario}, seed ${seed}: ${percent(wronglyRefusedShare)} refused within the rate`;
      return [
        ...(distance > 0 ? [`${refused}, missed by ${percent(distance)}`] : []),
        ...(excess > 0 ? [`${scenario}, seed ${seed}: ${excess} requests above the limit`] : []),
      ];
    });
}
