import { describe, it } from 'node:test';
import { Random } from '@marigoldbank/base/random';
import { expect } from 'earl';
import { makeTarget } from '../fixtures.js';
import { expectedWaitMs, TargetSelector } from '../TargetSelector.js';
import { TargetTable } from '../TargetTable.js';
import { PaceChanges } from './PaceChanges.js';
import { PACE_MEMORY_MS, TargetPaces, USUAL_PACE, type PacedTarget } from './TargetPaces.js';

const SLOTS = 3;
const ROUNDS = 40;
const STEP_MS = 100;
const LAST_MS = ROUNDS * STEP_MS;

function makePaced(id: string, born = 1): PacedTarget {
  return { id, born, service: 'orders', slots: SLOTS };
}

/** Half of the targets take four times as long as the others, which is 1.6 and 0.4 times the mean. */
function learnSlowHalf(): TargetPaces {
  const paces = new TargetPaces();
  Array.from({ length: ROUNDS }, (_, i) => (i + 1) * STEP_MS).forEach((at) =>
    [
      { id: 'slow', durations: 1.6 },
      { id: 'fast', durations: 0.4 },
    ].forEach(({ id, durations }) =>
      paces.observe(makePaced(id), { answered: 1, durations, rejected: 0, inFlight: 0 }, at),
    ),
  );
  return paces;
}

describe('TargetPaces', () => {
  it('tells slow targets from fast ones, by more than half of what they differ', () => {
    const paces = learnSlowHalf();
    const [slow, fast] = ['slow', 'fast'].map((id) => paces.paceOf({ id, born: 1 }, LAST_MS).pace);
    expect(slow! / fast!).toBeGreaterThan(2);
  });

  it('forgets a pace when the target restarts, and 10 s after the last outcome', () => {
    const paces = learnSlowHalf();
    expect(paces.paceOf({ id: 'slow', born: 2 }, LAST_MS)).toEqual(USUAL_PACE);
    const faded = paces.paceOf({ id: 'slow', born: 1 }, LAST_MS + PACE_MEMORY_MS / 2).pace;
    expect(faded).toBeLessThan(paces.paceOf({ id: 'slow', born: 1 }, LAST_MS).pace);
    expect(paces.paceOf({ id: 'slow', born: 1 }, LAST_MS + PACE_MEMORY_MS)).toEqual(USUAL_PACE);
  });

  // Single slow answers made healthy targets seem slow; without requests they kept that pace.
  it('draws little from a single outcome', () => {
    const paces = new TargetPaces();
    const once = { rejected: 0, inFlight: 0, answered: 1 };
    ['a', 'b', 'c'].forEach((id) => paces.observe(makePaced(id), { ...once, durations: 1 }, 0));
    paces.observe(makePaced('d'), { ...once, durations: 2 }, 0);
    expect(paces.paceOf({ id: 'd', born: 1 }, 0).pace).toBeLessThan(1.25);
  });

  it('takes the mean of what hubs say, by their outcomes', () => {
    const paces = new TargetPaces();
    const say = (source: string, pace: number, outcomes: number): void =>
      paces.note(source, { id: 't1', born: 1, pace: { pace, room: 1 }, outcomes }, 0);
    say('hub-1', 4, 90);
    say('hub-2', 1, 10);
    expect(paces.paceOf({ id: 't1', born: 1 }, 0).pace).toBeGreaterThan(3);
    paces.note('hub-1', { id: 't1', born: 1, pace: undefined, outcomes: 0 }, 0);
    expect(paces.paceOf({ id: 't1', born: 1 }, 0).pace).toEqual(1);
  });

  // A rejection by a target with free slots says nothing about its capacity.
  it('keeps all slots of a target that rejects 55% whatever its load, and some of one that rejects by its load', () => {
    const paces = new TargetPaces();
    const random = new Random(1);
    Array.from({ length: 200 }, (_, i) => i * 20).forEach((at, i) => {
      const inFlight = i % SLOTS;
      const observe = (id: string, isRejected: boolean): void =>
        paces.observe(
          makePaced(id),
          {
            inFlight,
            answered: isRejected ? 0 : 1,
            durations: isRejected ? 0 : 1,
            rejected: isRejected ? 1 : 0,
          },
          at,
        );
      observe('steady', random.chance(0.55));
      observe('narrow', inFlight >= 1);
    });
    const at = 200 * 20;
    expect(paces.paceOf({ id: 'steady', born: 1 }, at).room).toEqual(1);
    expect(Math.abs(paces.steadyRejectionOf({ id: 'steady', born: 1 }, at) - 0.55)).toBeLessThan(
      0.15,
    );
    expect(paces.paceOf({ id: 'narrow', born: 1 }, at).room).toEqual(1 / SLOTS);
  });

  it('makes slow targets cost more than busy ones, and their waits longer', () => {
    const table = new TargetTable();
    ['slow', 'fast'].forEach((id, i) =>
      table.upsert(makeTarget(id, { address: `a:${i}`, slots: SLOTS, born: 1 }), 0),
    );
    const [slow, fast] = [table.get('slow')!, table.get('fast')!];
    [slow, fast].forEach((target) => table.observe(target.info.id, 'succeeded', LAST_MS));
    const paces = learnSlowHalf();
    const request = {
      service: 'orders',
      canRetry: false,
      dataCentre: 'dc-1',
      excluded: new Set<string>(),
      expectedMs: 200,
      remainingMs: 1_000,
    };
    Object.assign(fast, { othersInFlight: SLOTS - 1 });
    const selector = new TargetSelector(table, new Random(1));
    expect(selector.select(request, LAST_MS)?.target).toEqual(slow);
    expect(selector.select({ ...request, paces }, LAST_MS)?.target).toEqual(fast);
    Object.assign(slow, { othersInFlight: SLOTS });
    expect(expectedWaitMs(slow, 200, LAST_MS, paces)).toBeGreaterThan(
      expectedWaitMs(slow, 200, LAST_MS),
    );
  });
});

describe('PaceChanges', () => {
  // Hubs have little processor time for messages, and one lost message must not end a pace.
  it('tells only changes of more than a quarter, and repeats unusual paces before they are forgotten', () => {
    const changes = new PaceChanges();
    const told = (pace: number | undefined, at: number): number =>
      changes.take(
        [
          {
            id: 't1',
            born: 1,
            pace: pace === undefined ? undefined : { pace, room: 1 },
            outcomes: 1,
          },
        ],
        at,
      ).length;
    const counts = [
      told(1.2, 0),
      told(2, 200),
      told(2.2, 400),
      told(2.2, 9_000),
      told(undefined, 9_200),
    ];
    expect(counts).toEqual([0, 1, 0, 1, 1]);
    expect(told(undefined, 20_000)).toEqual(0);
  });
});
