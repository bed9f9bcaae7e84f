/** Estimates the probability that a target is failing, from a few outcomes per second. */

/** What a request showed about its target. */
export type TargetOutcome =
  | 'succeeded'
  /** The connection was lost, or the response was not the target's. This hardly ever happens at a healthy target. */
  | 'failed'
  /** Weak evidence of a failure, such as a slow response or an error response that the request may have caused. */
  | 'suspect';

/** Rate at which a healthy target starts to fail: about once in half a minute, for some seconds. */
const FAILING_RATE_PER_S = 0.035;

/** Rate at which a failing target recovers: a failure lasts some seconds. */
const RECOVERY_RATE_PER_S = 0.1;

/** Probability of each outcome at a healthy and at a failing target. One failure is strong evidence. */
const LIKELIHOODS: Readonly<Record<TargetOutcome, { healthy: number; failing: number }>> = {
  succeeded: { healthy: 0.97, failing: 0.2 },
  failed: { healthy: 0.003, failing: 0.7 },
  suspect: { healthy: 0.015, failing: 0.1 },
};

/** Long-run fraction of failing targets, which is the prior for a target without evidence. */
const PRIOR = FAILING_RATE_PER_S / (FAILING_RATE_PER_S + RECOVERY_RATE_PER_S);

/** Bounds of the estimate. A probability closer to 0 or 1 would react too slowly to a change of the target. */
const MIN_PROBABILITY = 0.02;
const MAX_PROBABILITY = 0.99;

const MS_PER_SECOND = 1_000;

/**
 * Bayesian filter for a target with two hidden states, healthy and failing. Single outcomes change the probability a
 * lot. Without outcomes it drifts back to the prior, so that a failing target becomes worth a probe after some seconds.
 */
export class TargetBelief {
  private probability: number;

  public constructor(
    private updatedAt: number,
    probability: number = PRIOR,
  ) {
    this.probability = probability;
  }

  /** Probability in [0, 1] that the target is failing at `now`, in monotonic ms. */
  public failingProbability(now: number): number {
    const elapsedS = Math.max(0, now - this.updatedAt) / MS_PER_SECOND;
    const retained = Math.exp(-(FAILING_RATE_PER_S + RECOVERY_RATE_PER_S) * elapsedS);
    return PRIOR + (this.probability - PRIOR) * retained;
  }

  /** Updates the probability with `count` equal outcomes. */
  public observe(outcome: TargetOutcome, now: number, count = 1): void {
    const { healthy, failing } = LIKELIHOODS[outcome];
    const before = this.failingProbability(now);
    const odds = (before / (1 - before)) * (failing / healthy) ** count;
    const after = 1 / (1 + 1 / odds);
    this.probability = Math.min(MAX_PROBABILITY, Math.max(MIN_PROBABILITY, after));
    this.updatedAt = Math.max(this.updatedAt, now);
  }

  /** Forgets all outcomes. */
  public reset(now: number): void {
    this.adopt(PRIOR, now);
  }

  /** Replaces the probability by that of another observer. */
  public adopt(probability: number, now: number): void {
    this.probability = probability;
    this.updatedAt = now;
  }
}
