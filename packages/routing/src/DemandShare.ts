/**
 * Share in the rate of a team that is too small for a bucket: the share of one of hundreds of entries is far below one
 * token, so that a bucket would refuse nearly all requests, though the fleet keeps to the rate. A request is admitted with
 * the probability by which the demand exceeds the share. The demand here is estimated from the requests seen, starting
 * with what the demand on the fleet was when the budget holder was last heard.
 */
import type { Random } from '@marigoldbank/base/random';

/** Requests that the demand known at the start counts for. Less, and single requests of a team look like a surge. */
const PRIOR_REQUESTS = 1.2;

/** Requests are forgotten with this time constant, so that a surge does not count for long after it has ended. */
const MEMORY_MS = 20_000;

const MS_PER_SECOND = 1_000;

/** Time to come back after a refusal: other entries or the budget holder may admit the request sooner. */
const MAX_RETRY_MS = 1_000;

/** Demand on a team at the last contact with the budget holder, as a multiple of its rate: low on tokens, or not. */
const TIGHT_DEMAND = 3;
const RELAXED_DEMAND = 0.75;

/** The demand to assume for a team, which had tokens left at the last contact with the budget holder if it `isRelaxed`. */
export function usualDemandOf(isRelaxed: boolean): number {
  return isRelaxed ? RELAXED_DEMAND : TIGHT_DEMAND;
}

export interface ShareOptions {
  /** Requests a second that may be admitted here. */
  readonly perSecond: number;
  /** Demand at the start as a multiple of `perSecond`. */
  readonly usualDemand: number;
}

export class DemandShare {
  /** Requests seen, and the time (ms) in which they came, both fading. */
  private seen = 0;

  private elapsedMs = 0;

  public constructor(
    private readonly random: Random,
    private options: ShareOptions,
    private updatedAt: number,
  ) {}

  public configure(options: ShareOptions): void {
    this.options = options;
  }

  /** Decides on one request. */
  public admits(now: number): boolean {
    this.forget(now);
    const probability = this.probability();
    this.seen += 1;
    return this.random.chance(probability);
  }

  /** Counts requests that were admitted without a decision here; below 0 for some that were not run. */
  public charge(admitted: number, now: number): void {
    this.forget(now);
    this.seen = Math.max(0, this.seen + admitted);
  }

  /** Milliseconds after which a refused request should come back. */
  public get retryAfterMs(): number {
    const { perSecond } = this.options;
    return Math.min(MAX_RETRY_MS, Math.ceil(MS_PER_SECOND / Math.max(perSecond, Number.EPSILON)));
  }

  private probability(): number {
    const { perSecond, usualDemand } = this.options;
    if (perSecond <= 0) return 0;
    const priorMs = (PRIOR_REQUESTS * MS_PER_SECOND) / (usualDemand * perSecond);
    const demand = (PRIOR_REQUESTS + this.seen) / ((priorMs + this.elapsedMs) / MS_PER_SECOND);
    return Math.min(1, perSecond / demand);
  }

  private forget(now: number): void {
    const passedMs = Math.max(0, now - this.updatedAt);
    const kept = Math.exp(-passedMs / MEMORY_MS);
    this.seen *= kept;
    this.elapsedMs = this.elapsedMs * kept + passedMs;
    this.updatedAt = Math.max(this.updatedAt, now);
  }
}
