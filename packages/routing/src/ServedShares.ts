/** Shares of the requests to services that were not served lately, as one entry saw it. */
import { DecayedRate } from './load/DecayedRate.js';

/** Long enough for the few requests a second of one entry, short enough to end with what caused the failures. */
const MEMORY_MS = 2_000;

/** What became of a request: `refused` for one that no target has run. */
export type ServedOutcome = 'served' | 'refused' | 'failed';

interface Rates {
  readonly all: DecayedRate;
  readonly refused: DecayedRate;
  readonly failed: DecayedRate;
}

/** Times are monotonic ms. */
export class ServedShares {
  private readonly rates = new Map<string, Rates>();

  public note(service: string, outcome: ServedOutcome, now: number): void {
    const rates = this.ratesOf(service, now);
    rates.all.add(1, now);
    if (outcome !== 'served') rates[outcome].add(1, now);
  }

  /** Share in [0, 1] of the requests that were not served, 0 without requests. */
  public unservedShare(service: string, now: number): number {
    return this.refusedShare(service, now) + this.shareOf(service, 'failed', now);
  }

  /** Share in [0, 1] of the requests that no target has run, 0 without requests. */
  public refusedShare(service: string, now: number): number {
    return this.shareOf(service, 'refused', now);
  }

  /** Requests a second to a service, those that were refused included. */
  public perSecond(service: string, now: number): number {
    return this.rates.get(service)?.all.perSecond(now) ?? 0;
  }

  private shareOf(service: string, outcome: 'refused' | 'failed', now: number): number {
    const rates = this.rates.get(service);
    const all = rates?.all.perSecond(now) ?? 0;
    return rates === undefined || all === 0 ? 0 : rates[outcome].perSecond(now) / all;
  }

  private ratesOf(service: string, now: number): Rates {
    const known = this.rates.get(service);
    if (known !== undefined) return known;
    const rates = {
      all: new DecayedRate(MEMORY_MS, now),
      refused: new DecayedRate(MEMORY_MS, now),
      failed: new DecayedRate(MEMORY_MS, now),
    };
    this.rates.set(service, rates);
    return rates;
  }
}
