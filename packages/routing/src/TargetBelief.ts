/** Belief that a target is failing, from few outcomes a second. */

/** What a request showed about its target. */
export type TargetOutcome =
  | 'succeeded'
  /** The connection was lost, or the answer was not the target's. Sound targets hardly ever do this. */
  | 'failed'
  /** A slow answer or an error of the target, which a request may also have caused itself. */
  | 'suspect';

/** Rate at which a sound target starts to fail: about one spell of seconds in half a minute. */
const FAILING_RATE_PER_S = 0.035;

/** Rate at which a failing target recovers: spells last seconds. */
const RECOVERY_RATE_PER_S = 0.1;

/** Probability of each outcome at a sound and at a failing target; one failure is strong evidence. */
const LIKELIHOODS: Readonly<Record<TargetOutcome, { sound: number; failing: number }>> = {
  succeeded: { sound: 0.97, failing: 0.2 },
  failed: { sound: 0.003, failing: 0.7 },
  suspect: { sound: 0.015, failing: 0.1 },
};

/** Share of failing targets in the long run; the belief in a target without evidence. */
const PRIOR = FAILING_RATE_PER_S / (FAILING_RATE_PER_S + RECOVERY_RATE_PER_S);

/** Keeps the belief from becoming so certain that it would not follow a change. */
const MIN_PROBABILITY = 0.02;
const MAX_PROBABILITY = 0.99;

const MS_PER_SECOND = 1_000;

/**
 * Filter over a target that is either sound or failing. Single outcomes move the belief strongly; without outcomes it
 * drifts back to the long-run share, so that a failing target becomes worth another look after some seconds.
 */
export class TargetBelief {
  private probability: number;

  public constructor(
    private updatedAt: number,
    probability: number = PRIOR,
  ) {
    this.probability = probability;
  }

  /** Probability in [0, 1] that the target is failing at a time in monotonic ms. */
  public failingProbability(now: number): number {
    const elapsedS = Math.max(0, now - this.updatedAt) / MS_PER_SECOND;
    const keep = Math.exp(-(FAILING_RATE_PER_S + RECOVERY_RATE_PER_S) * elapsedS);
    return PRIOR + (this.probability - PRIOR) * keep;
  }

  /** Takes one outcome into account. */
  public observe(outcome: TargetOutcome, now: number): void {
    const { sound, failing } = LIKELIHOODS[outcome];
    const before = this.failingProbability(now);
    const weight = before * failing;
    const after = weight / (weight + (1 - before) * sound);
    this.probability = Math.min(MAX_PROBABILITY, Math.max(MIN_PROBABILITY, after));
    this.updatedAt = Math.max(this.updatedAt, now);
  }

  /** Replaces the belief by that of another observer. */
  public adopt(probability: number, now: number): void {
    this.probability = probability;
    this.updatedAt = now;
  }
}
