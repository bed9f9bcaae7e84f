/** The budget experiments: all scenarios and variants, one after the other. */
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
      const own = figures.filter((f) => f.scenario === scenario && f.variant === variant);
      if (own.length === 0) return [];
      const worst = (key: 'wronglyRefusedShare' | 'excess' | 'waitP50Ms' | 'waitP99Ms'): number =>
        Math.max(...own.map((f) => f[key]));
      return [
        [
          scenario,
          variant,
          `${own.length}`,
          percent(worst('wronglyRefusedShare')),
          worst('excess').toFixed(1),
          `${worst('waitP50Ms').toFixed(1)} / ${worst('waitP99Ms').toFixed(1)}`,
        ],
      ];
    }),
  );
}

/** Largest share refused within the rate, from section 1 of the design page. */
const MOST_REFUSED: Record<BudgetScenario, number> = {
  'budget-even': 0.001,
  'budget-skew': 0.001,
  'budget-lost-data-centre': 0.01,
};

/** One line for each target that lending misses. */
export function budgetMisses(figures: readonly BudgetFigures[]): string[] {
  return figures
    .filter(({ variant }) => variant === 'lending')
    .flatMap(({ scenario, seed, wronglyRefusedShare, excess }) => {
      const by = wronglyRefusedShare - MOST_REFUSED[scenario];
      const refused = `${scenario}, seed ${seed}: ${percent(wronglyRefusedShare)} refused within the rate`;
      return [
        ...(by > 0 ? [`${refused}, missed by ${percent(by)}`] : []),
        ...(excess > 0 ? [`${scenario}, seed ${seed}: ${excess} requests above the limit`] : []),
      ];
    });
}
