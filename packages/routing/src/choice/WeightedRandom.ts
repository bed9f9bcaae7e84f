/** Draws a target with a probability that falls exponentially with its cost. */
import type { Random } from '@marigoldbank/base/random';
import type { TargetState } from '../TargetTable.js';
import { ChoicePolicy, type ChoiceContext, type ScoredTarget } from './ChoicePolicy.js';

export class WeightedRandom extends ChoicePolicy {
  public constructor(
    random: Random,
    /** Difference in cost by which the probability falls to 1/e. */
    private readonly scale: number,
  ) {
    super(random);
  }

  /** The lowest of costs with Gumbel noise, which is the same as a draw with exponential weights. */
  public choose(targets: readonly TargetState[], ctx: ChoiceContext): ScoredTarget | undefined {
    const noise = (): number =>
      -Math.log(-Math.log(Math.max(Number.MIN_VALUE, this.random.float())));
    const chosen = this.cheapest(targets, {
      ...ctx,
      costOf: (target) => ctx.costOf(target) - this.scale * noise(),
    });
    return chosen === undefined ? undefined : { ...chosen, cost: ctx.costOf(chosen.target) };
  }
}
