/** Local avoidance of a target that this entry alone cannot reach. */
import {
  BREAKER_FAILURE_THRESHOLD,
  BREAKER_BASE_OPEN_MS,
  BREAKER_MAX_OPEN_MS,
} from './constants.js';

/** Consecutive failures start an avoidance, which ends with one trial request. */
export class CircuitBreaker {
  private failures = 0;

  private openMs = BREAKER_BASE_OPEN_MS;

  private openUntil = 0;

  public isOpen(now: number): boolean {
    return now < this.openUntil;
  }

  /** True after an avoidance until a request has succeeded: only one request at a time. */
  public get allowsOnlyOneRequest(): boolean {
    return this.failures >= BREAKER_FAILURE_THRESHOLD;
  }

  /** Returns the length of an avoidance that starts now, or undefined. */
  public onFailure(now: number): number | undefined {
    this.failures += 1;
    if (this.failures < BREAKER_FAILURE_THRESHOLD || this.isOpen(now)) return undefined;
    const { openMs: openMs } = this;
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
