/** Compares all targets. Right for an entry that knows what the others send, or for one that sends nearly everything. */
import type { TargetState } from '../TargetTable.js';
import { ChoicePolicy, type ChoiceContext, type ScoredTarget } from './ChoicePolicy.js';

export class LowestCost extends ChoicePolicy {
  public choose(targets: readonly TargetState[], ctx: ChoiceContext): ScoredTarget | undefined {
    return this.cheapest(targets, ctx);
  }
}
