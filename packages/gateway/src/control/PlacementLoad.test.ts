import { describe, it } from 'node:test';
import { expect } from 'earl';
import { PlacementLoad } from './PlacementLoad.js';

const TICK_MS = 200;
const TARGETS = ['a', 'b', 'c', 'd'].map((id, i) => ({
  id,
  service: 'orders',
  dataCentre: i < 2 ? 'dc-1' : 'dc-2',
  slots: 3,
}));

interface Play {
  readonly inFlight: (target: string) => number;
  /** Answers of a target in each tick. */
  readonly answers: (target: string) => number;
  readonly failing?: string;
}

/** Room in requests a second by data centre, after a while of the same load. */
function roomsAfter({ inFlight, answers, failing }: Play): Record<string, number> {
  const targets = {
    describeUsable: () => TARGETS,
    beliefs: () =>
      TARGETS.map(({ id }) => ({ id, failingProbability: id === failing ? 0.9 : 0.05 })),
  };
  const load = new PlacementLoad({ targets, inFlight });
  Array.from({ length: 50 }, (_, k) => {
    const now = k * TICK_MS;
    load.refresh(now);
    load.sample();
    return TARGETS.forEach(({ id }) =>
      load.observe({ id, succeeded: answers(id), failed: 0, suspect: 0, inFlight: 0 }, now),
    );
  });
  const rooms = load.roomOf('orders', 49 * TICK_MS);
  return Object.fromEntries(rooms.map(({ dataCentre, perSecond }) => [dataCentre, perSecond]));
}

describe('PlacementLoad', () => {
  it('derives room from busy slots and answers, not from requests that wait at a target', () => {
    // 2 busy slots and 10 answers a second are 200 ms a request; 8 in flight are 3 busy slots, and 300 ms.
    const usual = roomsAfter({ inFlight: () => 2, answers: () => 2 });
    expect(Math.abs(usual['dc-1']! - 30)).toBeLessThan(1);
    const queued = roomsAfter({ inFlight: () => 8, answers: () => 2 });
    expect(Math.abs(queued['dc-1']! - 20)).toBeLessThan(1);
  });

  it('counts a data centre with slow targets for less, and leaves failing targets out', () => {
    const slow = roomsAfter({
      inFlight: (id) => (id < 'c' ? 3 : 2),
      answers: (id) => (id < 'c' ? 1 : 2),
    });
    expect(Math.abs(slow['dc-1']! - 10)).toBeLessThan(1);
    expect(Math.abs(slow['dc-2']! - 30)).toBeLessThan(1);
    const half = roomsAfter({ inFlight: () => 2, answers: () => 2, failing: 'a' });
    expect(Math.abs(half['dc-1']! - 15)).toBeLessThan(1);
  });

  it('knows no room before it knows a duration, so that nothing is moved', () => {
    expect(roomsAfter({ inFlight: () => 0, answers: () => 0 })).toEqual({});
  });
});
