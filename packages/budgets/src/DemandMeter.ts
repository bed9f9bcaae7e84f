/** Estimates the recent demand of one team at this entry. */
import { DEMAND_WINDOW_MS } from './constants.js';

/** Exponentially decaying average of the request rate. */
export class DemandMeter {
  private ratePerMs = 0;

  private updatedAt = -Infinity;

  public add(now: number): void {
    this.ratePerMs = this.rateAt(now) + 1 / DEMAND_WINDOW_MS;
    this.updatedAt = now;
  }

  /** Requests expected within `durationMs`. */
  public expectedRequests(durationMs: number, now: number): number {
    return this.rateAt(now) * durationMs;
  }

  private rateAt(now: number): number {
    if (this.ratePerMs === 0) return 0;
    return this.ratePerMs * Math.exp((this.updatedAt - now) / DEMAND_WINDOW_MS);
  }
}
