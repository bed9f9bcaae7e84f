/**
 * Load pattern: at any time a third of the targets resets most of what reaches it, for seconds, with good health. Each
 * target sees three requests a second; most requests may run once.
 */
import { describe, it } from 'node:test';
import { Random } from '@marigoldbank/base/random';
import { expect } from 'earl';
import { makeTarget } from './fixtures.js';
import { TargetTable } from './TargetTable.js';
import { TargetSelector } from './TargetSelector.js';

const TARGETS = 19;
const ENTRIES = 8;
const REQUESTS_PER_S = 100;
const SPELL_MS = 9_000;
const FAILING_SHARE = 0.3;
const RESET_PROBABILITY = 0.85;
const REPEATABLE_SHARE = 0.28;
const WORK_MS = 400;
const SPREAD_DELAY_MS = 5;
const DURATION_MS = 120_000;

interface Result {
  readonly unsafeLost: number;
  readonly repeats: number;
  readonly busiestShare: number;
}

interface Strategy {
  choose(entry: number, canRepeat: boolean, excluded: ReadonlySet<string>, now: number): string;
  started(entry: number, id: string, now: number): void;
  ended(entry: number, id: string, isGood: boolean, now: number): void;
}

interface Event {
  readonly at: number;
  readonly run: () => void;
}

const ids = Array.from({ length: TARGETS }, (_, i) => `t${i}`);

function makeShared(random: Random): Strategy {
  const boards = Array.from({ length: ENTRIES }, () => new TargetTable());
  boards.forEach((board) => ids.forEach((id) => board.upsert(makeTarget(id), 0)));
  const selectors = boards.map((board) => new TargetSelector(board, random));
  return {
    choose: (entry, canRepeat, excluded, now) =>
      selectors[entry]!.select(
        {
          service: 'orders',
          canRepeat,
          dataCentre: 'dc-1',
          excluded,
          expectedMs: WORK_MS,
          remainingMs: 3_000,
        },
        now,
      )!.target.info.id,
    started: (entry, id, now) =>
      boards.forEach((board, i) => {
        const target = board.get(id)!;
        target.lastTriedAt = now;
        if (i === entry) target.ownInFlight += 1;
        else target.othersInFlight += 1;
      }),
    ended: (entry, id, isGood, now) =>
      boards.forEach((board, i) => {
        const target = board.get(id)!;
        if (i === entry) target.ownInFlight -= 1;
        else target.othersInFlight -= 1;
        board.observe(id, isGood ? 'succeeded' : 'failed', now);
      }),
  };
}

/** Two random targets, the one with fewer requests of this entry. */
function makeNaive(random: Random): Strategy {
  const loads = Array.from({ length: ENTRIES }, () => new Map<string, number>());
  return {
    choose: (entry, _canRepeat, excluded) => {
      const left = random.shuffle(ids.filter((id) => !excluded.has(id))).slice(0, 2);
      return left.sort((a, b) => (loads[entry]!.get(a) ?? 0) - (loads[entry]!.get(b) ?? 0))[0]!;
    },
    started: (entry, id) => loads[entry]!.set(id, (loads[entry]!.get(id) ?? 0) + 1),
    ended: (entry, id) => loads[entry]!.set(id, (loads[entry]!.get(id) ?? 0) - 1),
  };
}

function simulate(seed: number, make: (random: Random) => Strategy): Result {
  const random = new Random(seed);
  const strategy = make(random);
  const phases = new Map(ids.map((id) => [id, random.float() * SPELL_MS]));
  const spells = new Map<string, boolean>();
  const isFailing = (id: string, now: number): boolean => {
    const key = `${id}/${Math.floor((now + phases.get(id)!) / SPELL_MS)}`;
    if (!spells.has(key)) spells.set(key, random.chance(FAILING_SHARE));
    return spells.get(key)!;
  };
  const events: Event[] = [];
  const schedule = (at: number, run: () => void): void => {
    events.push({ at, run });
    events.sort((a, b) => b.at - a.at);
  };
  const arrivals = new Map<string, number>();
  let unsafe = 0;
  let unsafeLost = 0;
  let requests = 0;
  let repeats = 0;
  const send = (entry: number, canRepeat: boolean, tried: Set<string>, now: number): void => {
    const id = strategy.choose(entry, canRepeat && tried.size === 0, tried, now);
    tried.add(id);
    arrivals.set(id, (arrivals.get(id) ?? 0) + 1);
    strategy.started(entry, id, now);
    const isReset = isFailing(id, now) && random.chance(RESET_PROBABILITY);
    const endAt = now + (isReset ? SPREAD_DELAY_MS : WORK_MS + SPREAD_DELAY_MS);
    schedule(endAt, () => {
      strategy.ended(entry, id, !isReset, endAt);
      if (!isReset) return;
      if (!canRepeat) unsafeLost += 1;
      else if (tried.size < 2) {
        repeats += 1;
        send(entry, canRepeat, tried, endAt);
      }
    });
  };
  const arrive = (at: number): void => {
    if (at > DURATION_MS) return;
    schedule(at, () => {
      const canRepeat = random.chance(REPEATABLE_SHARE);
      requests += 1;
      if (!canRepeat) unsafe += 1;
      send(random.int(ENTRIES), canRepeat, new Set(), at);
      arrive(at + random.exponential(1_000 / REQUESTS_PER_S));
    });
  };
  arrive(0);
  for (let event = events.pop(); event !== undefined; event = events.pop()) event.run();
  const busiest = Math.max(...arrivals.values());
  return {
    unsafeLost: unsafeLost / unsafe,
    repeats: repeats / requests,
    busiestShare: busiest / requests,
  };
}

describe('targets with spells of resets', () => {
  [1, 2, 3].forEach((seed) => {
    it(`loses at most a tenth of what the naive choice loses, within the retry budget (seed ${seed})`, () => {
      const shared = simulate(seed, makeShared);
      const naive = simulate(seed, makeNaive);
      expect(shared.unsafeLost).toBeLessThan(naive.unsafeLost / 10);
      expect(shared.repeats).toBeLessThan(0.2);
    });

    it(`spreads the load over the targets (seed ${seed})`, () => {
      const { busiestShare } = simulate(seed, makeShared);
      expect(busiestShare).toBeLessThan(3 / TARGETS);
    });
  });
});
