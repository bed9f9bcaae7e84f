/** Rates of cold targets, in virtual time: 126 entries, 59 cold targets, 547 requests a second. */
import { describe, it } from 'node:test';
import { Random } from '@marigoldbank/base/random';
import { expect } from 'earl';
import {
  COLD_MS,
  COLD_PER_SECOND,
  ColdFleetModel,
  MOST_PER_SECOND,
  type ColdFleetOptions,
} from './ColdFleetModel.js';
import { EntryCount } from './EntryCount.js';
import { makeTarget } from './fixtures.js';
import { PreviousTargetLimits } from './PreviousTargetLimits.js';
import { TargetLimits } from './TargetLimits.js';
import { TargetSelector } from './TargetSelector.js';
import { TargetTable } from './TargetTable.js';

const ENTRIES = 126;
const PER_SECOND = 547;
const SEEDS = [1, 2, 3];
const DATA_CENTRE = 'dc-0';
const COLD = Array.from({ length: 59 }, (_, i) => `t${i}`);

/** The same share as for rates that targets name, see limits.test.ts. */
const USEFUL_SHARE = 1 / 3;

/** Requests that a target with three slots processes or queues. */
const MOST_AT_TARGET = 15;

function makeModel(seed: number, options: Partial<ColdFleetOptions> = {}): ColdFleetModel {
  return new ColdFleetModel({
    seed,
    entries: ENTRIES,
    dataCentres: 3,
    toldAfterMs: 100,
    ...options,
  });
}

/** Announces the 59 targets, and 91 warm ones in the other data centres. */
function announceAll(model: ColdFleetModel, coldMs: number): void {
  COLD.forEach((id) => model.announce({ id, dataCentre: DATA_CENTRE }, coldMs));
  Array.from({ length: 91 }, (_, i) =>
    model.announce({ id: `t${100 + i}`, dataCentre: `dc-${1 + (i % 2)}` }, 0),
  );
}

function perTarget(model: ColdFleetModel, from: number, to: number): number {
  const counts = COLD.map((id) => model.countOf(id, from, to));
  return counts.reduce((sum, count) => sum + count, 0) / COLD.length;
}

function expectBounded(model: ColdFleetModel, from: number, to: number): void {
  expect(model.mostInASecond(COLD, from, to)).toBeLessThanOrEqual(MOST_PER_SECOND);
}

describe('cold targets', () => {
  SEEDS.forEach((seed) => {
    // Without a common rate, a return of all callers sends each target 9 requests a second and more.
    it(`get at most the tolerated requests and a useful share of them, seed ${seed}`, () => {
      const model = makeModel(seed);
      COLD.forEach((id) => model.announce({ id, dataCentre: DATA_CENTRE }, COLD_MS));
      model.addReturning(PER_SECOND, 1_000);
      model.advance(COLD_MS, PER_SECOND);
      expectBounded(model, 0, COLD_MS);
      const used = perTarget(model, 0, COLD_MS) / (COLD_MS / 1_000);
      expect(used).toBeGreaterThan(USEFUL_SHARE * COLD_PER_SECOND);
    });

    // Each entry has an unused share at all of them after the evacuation.
    it(`get no burst at the end of an evacuation nor at that of their cold time, seed ${seed}`, () => {
      const model = makeModel(seed);
      announceAll(model, 0);
      model.advance(1_000, 0);
      model.entries.forEach(({ limits }) => limits.treatAsCold(DATA_CENTRE, model.now));
      const from = model.now;
      const to = from + COLD_MS;
      model.addReturning(PER_SECOND, 1_000);
      model.advance(COLD_MS + 1_000, PER_SECOND);
      expectBounded(model, from, to);
      const used = COLD.filter((id) => model.countOf(id, from, to) > 0);
      expect(used.length).toBeGreaterThan(COLD.length / 2);
      const even = PER_SECOND / 150;
      expect(perTarget(model, to, to + 1_000)).toBeGreaterThan(even / 2);
      expect(perTarget(model, to, to + 1_000)).toBeLessThan(even * 2);
      expect(model.mostInASecond(COLD, to - 500, to + 1_000)).toBeLessThanOrEqual(MOST_AT_TARGET);
    });

    // Those that start know of one entry, the first status names few, and the others do not know of them yet.
    it(`get at most the tolerated requests while half of the entries start, seed ${seed}`, () => {
      const half = ENTRIES / 2;
      const startAt = 2_000;
      const countedAt = startAt + 500;
      const counts = Array.from({ length: ENTRIES }, () => new EntryCount());
      const model = makeModel(seed, { countOf: (entry, now) => counts[entry]!.cautious(now) });
      const [old, started] = [counts.slice(0, half), counts.slice(half)];
      old.forEach((count) => count.note(half, -10_000, true));
      const announce = (seq: number): void =>
        COLD.forEach((id) => model.announce({ id, dataCentre: DATA_CENTRE }, COLD_MS, seq));
      announce(1);
      model.advance(startAt, PER_SECOND, half);
      announce(2);
      started.forEach((count) => count.note(1, startAt, true));
      model.addReturning(PER_SECOND, 1_000);
      model.advance(countedAt - startAt, PER_SECOND);
      counts.forEach((count) => count.note(ENTRIES, countedAt, true));
      model.advance(startAt + COLD_MS - countedAt, PER_SECOND);
      expectBounded(model, 0, startAt + COLD_MS);
    });

    // Without messages an entry knows only its own requests, and must not take the target for warm or its share for more.
    it(`get at most the tolerated requests from entries without hubs, seed ${seed}`, () => {
      const model = makeModel(seed, { toldAfterMs: Infinity });
      COLD.forEach((id) => model.announce({ id, dataCentre: DATA_CENTRE }, COLD_MS));
      model.addReturning(PER_SECOND, 1_000);
      model.advance(COLD_MS + 1_000, PER_SECOND);
      expectBounded(model, 0, COLD_MS);
      expect(perTarget(model, COLD_MS, COLD_MS + 1_000)).toBeGreaterThan(COLD_PER_SECOND);
    });
  });

  // Coldness was taken from the first announcement alone.
  it('are limited again when a later announcement says that they have become cold', () => {
    const model = makeModel(4);
    announceAll(model, 0);
    model.advance(1_000, PER_SECOND);
    COLD.forEach((id) => model.announce({ id, dataCentre: DATA_CENTRE }, COLD_MS, 2));
    const from = model.now;
    model.advance(COLD_MS, PER_SECOND);
    expectBounded(model, from, model.now);
    expect(perTarget(model, 0, from)).toBeGreaterThan(
      2 * perTarget(model, from + 1_000, from + 2_000),
    );
  });
});

describe('limits of services without rates for cold targets', () => {
  // With fewer or more random numbers drawn, all later choices of an entry would differ.
  it('decide exactly as before', () => {
    const ids = Array.from({ length: 20 }, (_, i) => `t${i}`);
    const [before, after] = [PreviousTargetLimits, TargetLimits].map((Limits) => {
      const random = new Random(9);
      const inputs = new Random(10);
      const limits = new Limits(random, () => 40);
      const table = new TargetTable();
      ids.forEach((id) => table.upsert(makeTarget(id, { coldMs: 2_000 }), 0));
      if (limits instanceof TargetLimits) {
        limits.setServices([{ name: 'orders', maxConnections: 10 }]);
        const announcement = { service: 'orders', dataCentre: 'dc-1', born: 1, seq: 1 };
        ids.forEach((id) =>
          limits.announce({ ...announcement, id, coldMs: 2_000, receivedAfter: 0 }, 0),
        );
        limits.treatAsCold('dc-1', 0);
      }
      const selector = new TargetSelector(table, random, limits);
      return Array.from({ length: 5_000 }, (_, i) => i).map((now) => {
        const id = inputs.pick(ids)!;
        const perSecond = inputs.chance(0.7) ? inputs.int(5) : undefined;
        const isNews = inputs.chance(0.02) && limits.note(id, { perSecond, at: now });
        if (limits instanceof TargetLimits) limits.recordFailure(id, now);
        const request = { service: 'orders', canRetry: inputs.chance(0.5), dataCentre: 'dc-1' };
        const times = { expectedMs: 240, remainingMs: 1_500 };
        const excluded = new Set([inputs.pick(ids)!]);
        const selection = selector.select({ ...request, ...times, excluded }, now);
        if (selection !== undefined) limits.spend(selection.target.info.id, now);
        const { cost, waitMs, candidates } = selection ?? {};
        const chosen = selection?.target.info.id;
        return [isNews, chosen, cost, waitMs, candidates, limits.waitMs([id], now)];
      });
    });
    expect(after).toEqual(before);
  });
});
