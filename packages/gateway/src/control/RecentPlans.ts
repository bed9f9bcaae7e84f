import type { CommittedPlan } from './CommittedPlan.js';
import type { PlanStateMachine } from './PlanStateMachine.js';

const MAX_PLANS = 16;

/** Most characters of their documents together. A plan takes some six times its document in memory. */
const MAX_DOCUMENTS = 4_194_304;

function withinLimits(plans: readonly CommittedPlan[]): readonly CommittedPlan[] {
  const recent = plans.slice(-MAX_PLANS);
  const sizes = recent.map((_, i) =>
    recent.slice(i).reduce((sum, { document }) => sum + document.length, 0),
  );
  return recent.filter((_, i) => i === recent.length - 1 || sizes[i]! <= MAX_DOCUMENTS);
}

/** The newest committed plans, which entries may still hold. Changes can start from each of them. */
export class RecentPlans {
  private plans: readonly CommittedPlan[];

  public constructor(stateMachine: Pick<PlanStateMachine, 'current' | 'onDidChangePlan'>) {
    const { current } = stateMachine;
    this.plans = current === undefined ? [] : [current];
    stateMachine.onDidChangePlan((plan) => {
      this.plans = withinLimits([...this.plans, plan]);
    });
  }

  /** Undefined before the first plan. */
  public get current(): CommittedPlan | undefined {
    return this.plans.at(-1);
  }

  /** Undefined for a version that is too old or was not committed. */
  public planOf(version: number | undefined): CommittedPlan | undefined {
    return this.plans.find(({ plan }) => plan.version === version);
  }
}
