/**
 * Compares a few random targets, most of them in the data centre of the entry: requests to others are billed and slower.
 * A target gets at most a small multiple of its even share, however many entries choose by the same outdated state.
 */
import type { Random } from '@marigoldbank/base/random';
import type { TargetState } from '../TargetTable.js';
import { ChoicePolicy, type ChoiceContext, type ScoredTarget } from './ChoicePolicy.js';

/** Numbers of targets that are compared. */
export interface SampleSize {
  /** Of the data centre of the entry. */
  readonly local: number;
  /** Of all other data centres. If there are too few local ones, further ones take their places. */
  readonly remote: number;
  /** Further ones to which the entry has an idle connection. They differ between entries. */
  readonly connected: number;
}

/**
 * With fewer, a request that may run once too often meets only targets that are failing or have not been used lately. With
 * more, targets get more requests than they have slots where entries hear of each other late (choice-at-scale.test.ts).
 */
const USUAL_SIZE: SampleSize = { local: 6, remote: 2, connected: 4 };

/** A sample whose cheapest target costs more is most likely lost, so a larger one is taken. */
const LARGE_SAMPLE_COST = 0.4;
const LARGE_SAMPLE_FACTOR = 4;

export class LowestOfSample extends ChoicePolicy {
  public constructor(
    random: Random,
    private readonly size: SampleSize = USUAL_SIZE,
  ) {
    super(random);
  }

  public choose(targets: readonly TargetState[], ctx: ChoiceContext): ScoredTarget | undefined {
    const chosen = this.cheapest(this.sample(targets, ctx, 1), ctx);
    if (chosen === undefined || chosen.cost <= LARGE_SAMPLE_COST) return chosen;
    return this.cheapest(this.sample(targets, ctx, LARGE_SAMPLE_FACTOR), ctx);
  }

  private sample(
    targets: readonly TargetState[],
    { dataCentre, isConnected }: ChoiceContext,
    factor: number,
  ): TargetState[] {
    const local = this.size.local * factor;
    const total = local + this.size.remote * factor;
    const isLocal = ({ info }: TargetState): boolean => info.dataCentre === dataCentre;
    const own = this.random.sample(targets.filter(isLocal), local);
    const others = targets.filter((target) => !isLocal(target));
    const connected = this.random.sample(targets.filter(isConnected), this.size.connected);
    return [...own, ...this.random.sample(others, total - own.length), ...connected];
  }
}
