/**
 * Which targets of a service are compared for a request. All entries rank the targets by nearly the same state, which is
 * some tenths of a second old: the cheapest target of all would get the requests of all entries until they have heard of
 * each other's.
 */
import type { Random } from '@marigoldbank/base/random';
import type { TargetState } from '../TargetTable.js';

/** Random part of the cost. It breaks ties, so that entries do not all select the same target. */
const JITTER = 0.01;

export interface ScoredTarget {
  readonly target: TargetState;
  readonly cost: number;
}

/** What a policy knows of a request. */
export interface ChoiceContext {
  /** Data centre of the entry. */
  readonly dataCentre: string;
  /** Expected duration of the request at a healthy target, in ms. */
  readonly expectedMs: number;
  /** Whether the entry has an idle connection to a target. */
  readonly isConnected: (target: TargetState) => boolean;
  /** Cost of a target, in units of the value of the response. Infinity for one that must not get the request. */
  readonly costOf: (target: TargetState) => number;
  /** Whether a request to the target most likely fails. */
  readonly isFailing: (target: TargetState) => boolean;
}

export abstract class ChoicePolicy {
  public constructor(protected readonly random: Random) {}

  /** Returns undefined if no target may get the request. */
  public abstract choose(
    targets: readonly TargetState[],
    ctx: ChoiceContext,
  ): ScoredTarget | undefined;

  /** The target with the lowest cost, apart from a small random part. */
  protected cheapest(
    targets: readonly TargetState[],
    { costOf }: ChoiceContext,
  ): ScoredTarget | undefined {
    return targets
      .map((target) => ({ target, cost: costOf(target) + JITTER * this.random.float() }))
      .filter(({ cost }) => cost < Infinity)
      .reduce<ScoredTarget | undefined>(
        (least, item) => (least === undefined || item.cost < least.cost ? item : least),
        undefined,
      );
  }
}
