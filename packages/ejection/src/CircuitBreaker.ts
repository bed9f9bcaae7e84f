/** Local avoidance of a target that this entry alone cannot reach. */
import { AVOID_AFTER_FAILURES, AVOID_BASE_MS, AVOID_MAX_MS } from './constants.js';

/** Consecutive failures start an avoidance, which ends with one trial request. */
export class CircuitBreaker {
  private failures = 0;

  private lengthMs = AVOID_BASE_MS;

  private until = 0;

  public isAvoided(now: number): boolean {
    return now < this.until;
  }

  /** True after an avoidance until a request has succeeded: only one request at a time. */
  public get isOnTrial(): boolean {
    return this.failures >= AVOID_AFTER_FAILURES;
  }

  /** Returns the length of an avoidance that starts now, or undefined. */
  public onFailure(now: number): number | undefined {
    this.failures += 1;
    if (this.failures < AVOID_AFTER_FAILURES || this.isAvoided(now)) return undefined;
    const { lengthMs } = this;
    this.until = now + lengthMs;
    this.lengthMs = Math.min(AVOID_MAX_MS, lengthMs * 2);
    return lengthMs;
  }

  public onSuccess(): void {
    if (this.failures === 0) return;
    this.failures = 0;
    this.until = 0;
    this.lengthMs = AVOID_BASE_MS;
  }
}
