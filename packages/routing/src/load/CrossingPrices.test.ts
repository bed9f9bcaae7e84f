import { describe, it } from 'node:test';
import { expect } from 'earl';
import { CrossingPrices } from './CrossingPrices.js';
import { PlacementPolicy } from './PlacementPolicy.js';

const PRICE = 0.03;
const NOW = 20_000;

function makePrices(): CrossingPrices {
  const prices = new CrossingPrices(PRICE);
  for (let now = 0; now <= NOW; now += 500) {
    prices.add('lookups', 100, 150_000, now);
    prices.add('uploads', 5, 300_000, now);
  }
  return prices;
}

describe('CrossingPrices', () => {
  it('are those of an average request while nothing is known', () => {
    expect(new CrossingPrices(PRICE).priceOf('lookups', 0)).toEqual(PRICE);
  });

  it('follow the bytes of a service within bounds', () => {
    const prices = makePrices();
    expect(prices.priceOf('lookups', NOW)).toBeLessThan(PRICE);
    expect(prices.priceOf('lookups', NOW)).toBeGreaterThan(PRICE * 0.19);
    expect(prices.priceOf('uploads', NOW)).toEqual(PRICE * 10);
    expect(new CrossingPrices(0).priceOf('uploads', NOW)).toEqual(0);
  });

  // Load: a data centre at 0.95 of its room beside one at half. Guards against uploads that are sent across for a short wait,
  // and against lookups that wait though they cost little on the way.
  it('let lookups leave a busy data centre, and uploads stay', () => {
    const prices = makePrices();
    const sites = [0.95, 0.5].map((used, i) => ({
      dataCentre: `dc-${i + 1}`,
      demandPerSecond: 100 * used,
      roomPerSecond: 100,
      slots: 22,
      heardShare: 1,
    }));
    const pathOf = () => ({ oneWayMs: 1, failedShare: 0 });
    const leaving = (service: string): number => {
      const policy = new PlacementPolicy(PRICE);
      const price = prices.priceOf(service, NOW);
      const tables = Array.from({ length: 10 }, (_, i) =>
        policy.decide({ service, dataCentres: sites, pathOf, price }, i * 500),
      );
      return tables.at(-1)?.get('dc-1')?.get('dc-2') ?? 0;
    };
    expect(leaving('lookups')).toBeGreaterThan(0.05);
    expect(leaving('uploads')).toEqual(0);
  });
});
