import { describe, it } from 'node:test';
import { Random } from '@marigoldbank/base/random';
import { expect } from 'earl';
import { ReturnTimes, type ReturnRequest } from './ReturnTimes.js';

/** Share of 8 requests a second, as of an entry of the largest service. */
const PER_MS = 0.008;

function makeRequest(overrides: Partial<ReturnRequest> = {}): ReturnRequest {
  return {
    service: 'orders',
    rank: 1,
    waitMs: 0,
    perMs: PER_MS,
    waiting: 0,
    remainingMs: 3_000,
    ...overrides,
  };
}

describe('ReturnTimes', () => {
  // All callers that were refused at the same moment returned together, and most were refused again.
  it('lets callers return at the rate of the room after a burst', () => {
    const returns = new ReturnTimes(new Random(1));
    const burst = Array.from({ length: 8 }, () => returns.forRoom(makeRequest(), 0));
    const gaps = [...burst].sort((a, b) => a - b).map((ms, i, all) => ms - (all[i - 1] ?? 0));
    expect(new Set(burst).size).toEqual(burst.length);
    expect(Math.max(...gaps)).toBeLessThanOrEqual(2 / PER_MS);
    expect(Math.max(...burst)).toBeGreaterThanOrEqual((burst.length - 1) / PER_MS);
  });

  it('lets more urgent callers return before less urgent ones that were refused earlier', () => {
    const returns = new ReturnTimes(new Random(1));
    const later = [0, 1, 2, 3].map(() => returns.forRoom(makeRequest({ rank: 2 }), 0));
    expect(returns.forRoom(makeRequest({ rank: 0 }), 0)).toBeLessThan(later[3]!);
  });

  it('keeps less urgent callers back while urgent requests use the room, down to a quarter of it', () => {
    const returns = new ReturnTimes(new Random(1));
    Array.from({ length: 100 }).forEach((_, i) => returns.noteArrival('orders', 0, i * 100));
    const [urgent, other] = [0, 2].map((rank) =>
      returns.forRoom(makeRequest({ rank, waiting: 1, remainingMs: 60_000 }), 10_000),
    );
    expect(other!).toBeGreaterThan(urgent!);
    expect(other!).toBeLessThanOrEqual((4 * 3) / PER_MS);
  });

  // Callers ignore a time that is longer than a third of what they have left, and a limit is a common time.
  it('stays within a third of the time left without a common value', () => {
    const returns = new ReturnTimes(new Random(1));
    const times = Array.from({ length: 200 }, () => returns.forRoom(makeRequest(), 0));
    const most = Math.max(
      ...[...new Set(times)].map((ms) => times.filter((other) => other === ms).length),
    );
    expect(Math.max(...times)).toBeLessThanOrEqual(1_000);
    expect(most).toBeLessThanOrEqual(10);
    const calls = [
      returns.after(300, 60),
      returns.afterRejection(60),
      returns.forRoom(makeRequest({ perMs: 0, remainingMs: 60 }), 0),
    ];
    calls.forEach((ms) => expect(ms).toBeLessThanOrEqual(20));
  });

  it('does not wait for a pause to end before it does, and returns soon after a rejection', () => {
    const returns = new ReturnTimes(new Random(1));
    expect(returns.after(300, 3_000)).toBeGreaterThanOrEqual(300);
    const soon = Array.from({ length: 50 }, () => returns.afterRejection(3_000));
    expect(Math.max(...soon)).toBeLessThan(100);
    expect(new Set(soon).size).toBeGreaterThan(10);
  });
});
