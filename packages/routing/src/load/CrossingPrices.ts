/**
 * What a request costs on its way to another data centre, by the bytes of its service. Such traffic is billed by bytes: an upload of
 * 60 kB costs as much as dozens of lookups.
 */
import { DecayedRate } from './DecayedRate.js';

const MEMORY_MS = 10_000;

/** Bytes of the heads of a request and its answer, which are not counted. */
const HEAD_BYTES = 600;

/** With fewer requests a second the mean varies too much by chance. */
const MIN_PER_SECOND = 2;

/** Bounds of the price, as multiples of that of an average request. */
const MIN_FACTOR = 0.2;
const MAX_FACTOR = 10;

interface Counted {
  readonly requests: DecayedRate;
  readonly bytes: DecayedRate;
}

function meanBytes(counted: readonly Counted[], now: number): number {
  const requests = counted.reduce((sum, item) => sum + item.requests.perSecond(now), 0);
  const bytes = counted.reduce((sum, item) => sum + item.bytes.perSecond(now), 0);
  return HEAD_BYTES + (requests > 0 ? bytes / requests : 0);
}

export class CrossingPrices {
  private readonly services = new Map<string, Counted>();

  /** `price` is that of a request with the mean number of bytes, in units of the value of an average answer. */
  public constructor(private readonly price: number) {}

  /** Counts requests and the bytes of their bodies and answers. Times are monotonic ms. */
  public add(service: string, requests: number, bytes: number, now: number): void {
    const counted = this.services.get(service) ?? {
      requests: new DecayedRate(MEMORY_MS, now),
      bytes: new DecayedRate(MEMORY_MS, now),
    };
    this.services.set(service, counted);
    counted.requests.add(requests, now);
    counted.bytes.add(bytes, now);
  }

  /** Price of a request of a service; that of an average one while too little is known. */
  public priceOf(service: string, now: number): number {
    const counted = this.services.get(service);
    if (counted === undefined || counted.requests.perSecond(now) < MIN_PER_SECOND) {
      return this.price;
    }
    const factor = meanBytes([counted], now) / meanBytes([...this.services.values()], now);
    return this.price * Math.min(MAX_FACTOR, Math.max(MIN_FACTOR, factor));
  }
}
