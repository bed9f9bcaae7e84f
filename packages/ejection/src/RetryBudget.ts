/** Limits retries to a share of the requests. */
import { MAX_SAVED_RETRIES, RETRY_SHARE } from './constants.js';
import type { IRetryBudget } from './types.js';

/**
 * Permits at most `share` retries per request, counted from creation, so that retries cannot multiply the load during a
 * fault. Unused retries accumulate up to a bound.
 */
export class RetryBudget implements IRetryBudget {
  private requests = 0;

  private retries = 0;

  /** Retries that expired unused because of the bound. */
  private expired = 0;

  public constructor(
    private readonly share = RETRY_SHARE,
    private readonly maxSaved = MAX_SAVED_RETRIES,
  ) {}

  public recordRequest(): void {
    this.requests += 1;
    this.expired += Math.max(0, this.saved() - this.maxSaved);
  }

  public tryRetry(): boolean {
    if (this.saved() < 1) return false;
    this.retries += 1;
    return true;
  }

  private saved(): number {
    return this.requests * this.share - this.retries - this.expired;
  }
}
