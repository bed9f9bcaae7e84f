import { describe, it } from 'node:test';
import { expect } from 'earl';
import { coldRate, lowerRate, namedRate } from './sharedRate.js';

describe('coldRate', () => {
  // The overshoot and the slack were part of the rate, so that each second that is busier by chance exceeded the bound.
  it('never intends more than the rate of the target', () => {
    const bounds = { overshoot: 1.5, slack: 8 };
    [0.5, 5.8, 50].forEach((limit) =>
      expect(coldRate(limit, bounds).perSecond).toBeLessThanOrEqual(limit),
    );
    expect(coldRate(0.5, { overshoot: 10, slack: 100 }).perSecond).toEqual(0.5);
  });

  it('leaves room for a return of all callers after an idle time', () => {
    [0.5, 5.8, 50].forEach((limit) => {
      const { perSecond, kept } = coldRate(limit, { overshoot: 1.5, slack: 8 });
      // Three standard deviations of a Poisson distribution.
      const mean = perSecond + kept;
      expect(mean + 3 * Math.sqrt(mean)).toBeLessThan(1.5 * limit + 8);
    });
  });

  it('is that of a named limit without bounds, and positive without any slack', () => {
    expect(coldRate(5.8, undefined)).toEqual(namedRate(5.8));
    expect(coldRate(0.5, { overshoot: 1, slack: 0 }).perSecond).toBeGreaterThan(0);
  });
});

describe('lowerRate', () => {
  it('applies the lower one of a named rate and the cold rate', () => {
    const [named, cold] = [namedRate(2), coldRate(5.8, { overshoot: 1.5, slack: 8 })];
    expect(lowerRate(named, cold)?.perSecond).toEqual(named.perSecond);
    expect(lowerRate(namedRate(100), cold)).toEqual(cold);
    expect(lowerRate(undefined, cold)).toEqual(cold);
    expect(lowerRate(undefined, undefined)).toEqual(undefined);
  });
});
