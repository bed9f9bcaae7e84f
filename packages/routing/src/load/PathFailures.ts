/** Failed attempts between data centres, as the entries of this hub reported them. */
import type { CrossingPath } from './planCrossings.js';

/** Time in which old attempts lose half of their weight. A way that fails is tried again after some tens of seconds. */
const HALF_LIFE_MS = 5_000;

/** Attempts without a failure that count from the start, so that one failure decides nothing. */
const PRIOR_ATTEMPTS = 5;

interface Counts {
  attempts: number;
  failures: number;
  at: number;
}

function ageTo({ attempts, failures, at }: Counts, now: number): Counts {
  const kept = 0.5 ** (Math.max(0, now - at) / HALF_LIFE_MS);
  return { attempts: attempts * kept, failures: failures * kept, at: now };
}

export class PathFailures {
  private readonly counts = new Map<string, Counts>();

  public add(from: string, to: string, attempts: number, failures: number, now: number): void {
    if (attempts === 0) return;
    const key = `${from}\n${to}`;
    const known = ageTo(this.counts.get(key) ?? { attempts: 0, failures: 0, at: now }, now);
    this.counts.set(key, {
      attempts: known.attempts + attempts,
      failures: known.failures + failures,
      at: now,
    });
  }

  /** Share of failed attempts beyond that within the data centre which requests leave. */
  public excess(from: string, to: string, now: number): CrossingPath['failedShare'] {
    return Math.max(0, this.shareOf(from, to, now) - this.shareOf(from, from, now));
  }

  private shareOf(from: string, to: string, now: number): number {
    const known = this.counts.get(`${from}\n${to}`);
    if (known === undefined) return 0;
    const { attempts, failures } = ageTo(known, now);
    return failures / (attempts + PRIOR_ATTEMPTS);
  }
}
