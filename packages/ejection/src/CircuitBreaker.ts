/** One entry's circuit breaker for one target. It also stops requests to a target that only this entry cannot reach. */
import {
  BREAKER_FAILURE_THRESHOLD,
  BREAKER_BASE_OPEN_MS,
  BREAKER_MAX_OPEN_MS,
} from './constants.js';

/** Opens after consecutive failures, for a time that doubles, and then admits one trial request at a time. */
export class CircuitBreaker {
  private failures = 0;

  private openMs = BREAKER_BASE_OPEN_MS;

  private openUntil = 0;

  public isOpen(now: number): boolean {
    return now < this.openUntil;
  }

  /** True from the opening until a request has succeeded: only one request at a time is sent. */
  public get allowsOnlyOneRequest(): boolean {
    return this.failures >= BREAKER_FAILURE_THRESHOLD;
  }

  /** Counts a failure. If the breaker opens now, returns for how long, otherwise undefined. */
  public onFailure(now: number): number | undefined {
    this.failures += 1;
    if (this.failures < BREAKER_FAILURE_THRESHOLD || this.isOpen(now)) return undefined;
    const { openMs } = this;
    this.openUntil = now + openMs;
    this.openMs = Math.min(BREAKER_MAX_OPEN_MS, openMs * 2);
    return openMs;
  }

  public onSuccess(): void {
    if (this.failures === 0) return;
    this.failures = 0;
    this.openUntil = 0;
    this.openMs = BREAKER_BASE_OPEN_MS;
  }
}
