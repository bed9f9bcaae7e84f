/** Compares a stable subset of the targets, which differs between entries. A target that leaves it is replaced by another. */
import type { Random } from '@marigoldbank/base/random';
import { rankVms } from '@marigoldbank/base/rendezvous';
import type { TargetState } from '../TargetTable.js';
import { ChoicePolicy, type ChoiceContext, type ScoredTarget } from './ChoicePolicy.js';

export class LowestOfSubset extends ChoicePolicy {
  public constructor(
    random: Random,
    /** Id of the entry. */
    private readonly entry: string,
    private readonly count: number,
  ) {
    super(random);
  }

  public choose(targets: readonly TargetState[], ctx: ChoiceContext): ScoredTarget | undefined {
    const ranked = rankVms(
      this.entry,
      targets.map((target) => ({ vm: target.info.id, dataCentre: '', target })),
    );
    return this.cheapest(
      ranked.slice(0, this.count).map(({ target }) => target),
      ctx,
    );
  }
}
