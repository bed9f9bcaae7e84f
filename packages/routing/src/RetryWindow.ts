/** Counts of requests and repeats of a service over a sliding window. */

/** The window is kept in this many parts. */
const PARTS = 20;

interface Part {
  index: number;
  requests: number;
  repeats: number;
}

/** Bounds on repeats: `ratio` x requests + `slack` in any window of `windowMs`. */
export interface RetryBudgetLimits {
  readonly ratio: number;
  readonly slack: number;
  readonly windowMs: number;
}

export class RetryWindow {
  private readonly parts: Part[] = [];

  public constructor(private readonly bounds: RetryBudgetLimits) {}

  public add(requests: number, repeats: number, now: number): void {
    const index = this.indexAt(now);
    const last = this.parts.at(-1);
    if (last !== undefined && last.index === index) {
      last.requests += requests;
      last.repeats += repeats;
      return;
    }
    this.parts.push({ index, requests, repeats });
    this.expire(index);
  }

  /** Used part of the allowance, 1 when it is exhausted. `share` is the part of the slack that counts here. */
  public usedFraction(now: number, share = 1): number {
    this.expire(this.indexAt(now));
    const requests = this.parts.reduce((sum, part) => sum + part.requests, 0);
    const repeats = this.parts.reduce((sum, part) => sum + part.repeats, 0);
    return repeats / (this.bounds.ratio * requests + this.bounds.slack * share);
  }

  private indexAt(now: number): number {
    return Math.floor((now * PARTS) / this.bounds.windowMs);
  }

  private expire(index: number): void {
    while ((this.parts[0]?.index ?? index) <= index - PARTS) this.parts.shift();
  }
}
