/**
 * Guards against herds: hundreds of entries that choose by the same outdated state sent up to 39 requests to a target with
 * 6 slots, and 19 at once to one that had just joined. Compared with a choice among all targets, as it was before.
 */
import { describe, it } from 'node:test';
import type { Random } from '@marigoldbank/base/random';
import { expect } from 'earl';
import { ChoiceModel, type ModelOptions } from './ChoiceModel.js';
import type { ChoicePolicy } from './ChoicePolicy.js';
import { LowestCost } from './LowestCost.js';
import { LowestOfSample } from './LowestOfSample.js';

const SIZES = [
  { entries: 40, targets: 30, dataCentres: 3 },
  { entries: 111, targets: 70, dataCentres: 3 },
  { entries: 276, targets: 157, dataCentres: 5 },
  { entries: 552, targets: 314, dataCentres: 5 },
];

const SLOTS = 6;

const USUAL_LOAD = 0.36;

const SETTLE_MS = 5_000;
const MEASURED_MS = 10_000;

/** Share of the targets that reset most requests at any time, as on the users' platform. */
const FAILING_SHARE = 0.3;

type ModelSize = Pick<ModelOptions, 'entries' | 'targets' | 'dataCentres'>;

const sample = (random: Random): ChoicePolicy => new LowestOfSample(random);
const all = (random: Random): ChoicePolicy => new LowestCost(random);

function play(size: ModelSize, options: Partial<ModelOptions>): ChoiceModel {
  const model = new ChoiceModel({
    ...size,
    load: USUAL_LOAD,
    toldAfterMs: 100,
    policy: sample,
    ...options,
  });
  model.advance(SETTLE_MS);
  model.resetCounts();
  model.advance(MEASURED_MS);
  return model;
}

function shareWithoutSlot({ result }: ChoiceModel): number {
  return result.withoutSlot / result.sends;
}

function mostAtOnce({ targets }: ChoiceModel): number {
  return Math.max(...targets.map(({ most }) => most));
}

/** Requests a second that a target gets if all get the same. */
function evenShare(model: ChoiceModel): number {
  return model.rate / model.targets.length;
}

/** Shares of the even share that targets got in each of the seconds from `from` on, the highest of all targets. */
function highestShares(
  model: ChoiceModel,
  ids: ReadonlySet<string>,
  from: number,
  seconds: number,
): number[] {
  return Array.from({ length: seconds }, (_, i) => {
    const at = from + i * 1_000;
    const counts = model.targets
      .filter(({ id }) => ids.has(id))
      .map((target) => ChoiceModel.arrivalsIn(target, at, at + 1_000));
    const mean = counts.reduce((sum, count) => sum + count, 0) / counts.length;
    return mean / evenShare(model);
  });
}

describe('choice among healthy targets', () => {
  SIZES.forEach((size) => {
    [10, 100].forEach((toldAfterMs) => {
      it(`finds a free slot for 99.5% of the requests, ${size.entries} entries told after ${toldAfterMs} ms`, () => {
        expect(shareWithoutSlot(play(size, { toldAfterMs }))).toBeLessThanOrEqual(0.005);
      });
    });

    it(`sends no target more than twice its slots, ${size.entries} entries told after 300 ms`, () => {
      expect(mostAtOnce(play(size, { toldAfterMs: 300 }))).toBeLessThanOrEqual(2 * SLOTS);
    });

    it(`uses each target within 2 s, ${size.entries} entries`, () => {
      const model = play(size, {});
      const unused = model.targets.filter((target) =>
        [0, 2, 4, 6, 8].some(
          (i) =>
            ChoiceModel.arrivalsIn(target, SETTLE_MS + i * 1_000, SETTLE_MS + (i + 2) * 1_000) ===
            0,
        ),
      );
      // With 5 requests in 2 s on average, a target gets none of them by chance now and then.
      expect(unused.length / model.targets.length).toBeLessThanOrEqual(0.1);
    });
  });

  it('finds a free slot for 99.5% of the requests with entries that are told after 300 ms', () => {
    const shares = SIZES.map((size) => shareWithoutSlot(play(size, { toldAfterMs: 300 })));
    expect(Math.max(...shares)).toBeLessThanOrEqual(0.005);
  });

  it('finds a free slot at 0.8 of the slots nearly as often as with perfect knowledge', () => {
    const ratios = SIZES.slice(0, 3).map((size) => {
      const perfect = play(size, { load: 0.8, toldAfterMs: 1, policy: all });
      return shareWithoutSlot(play(size, { load: 0.8 })) / shareWithoutSlot(perfect);
    });
    expect(Math.max(...ratios)).toBeLessThanOrEqual(1.5);
  });

  it('is better than a choice among all targets at the size at which that failed', () => {
    const size = SIZES[2]!;
    const before = play(size, { toldAfterMs: 300, policy: all });
    const after = play(size, { toldAfterMs: 300 });
    expect(shareWithoutSlot(after)).toBeLessThan(shareWithoutSlot(before) / 4);
    expect(mostAtOnce(after)).toBeLessThan(mostAtOnce(before));
  });
});

describe('targets that join', () => {
  SIZES.forEach((size) => {
    [100, 300].forEach((toldAfterMs) => {
      it(`get at most twice the even share, and some within 2 s, ${size.entries} entries told after ${toldAfterMs} ms`, () => {
        const model = play(size, { toldAfterMs });
        const joined = new Set(
          Array.from({ length: Math.ceil(size.targets / 20) }, () => model.addTarget(3_000).id),
        );
        const at = model.now;
        model.advance(3_000);
        const shares = highestShares(model, joined, at, 3);
        expect(Math.max(...shares)).toBeLessThanOrEqual(2);
        expect(Math.max(...shares.slice(0, 2))).toBeGreaterThan(0);
      });
    });
  });

  it('get at most twice the even share if they are a third of all', () => {
    const size = SIZES[2]!;
    const model = play(size, { toldAfterMs: 300 });
    const joined = new Set(
      Array.from({ length: size.targets / 2 }, () => model.addTarget(3_000).id),
    );
    const at = model.now;
    model.advance(3_000);
    expect(Math.max(...highestShares(model, joined, at, 3))).toBeLessThanOrEqual(2);
  });
});

describe('targets that fail while health checks pass', () => {
  SIZES.forEach((size) => {
    it(`lose no more requests than with a choice among all targets, and half of a blind one, ${size.entries} entries`, () => {
      const options = { failingShare: FAILING_SHARE, toldAfterMs: 300 };
      const before = play(size, { ...options, policy: all }).result;
      const after = play(size, options).result;
      const unaware = FAILING_SHARE * 0.85;
      expect(after.lost / after.once).toBeLessThan(unaware / 2);
      expect(after.lost / after.once).toBeLessThanOrEqual((1.05 * before.lost) / before.once);
      expect(after.repeats / after.sends).toBeLessThan(0.2);
    });
  });

  [
    { name: 'slow', fault: { kind: 'slow', factor: 5 } as const },
    { name: 'resetting', fault: { kind: 'resets' } as const },
  ].forEach(({ name, fault }) => {
    it(`get less than a quarter of the even share 1 s after the first evidence if they are ${name}`, () => {
      const size = SIZES[2]!;
      const model = play(size, {});
      const faulty = model.targets.slice(0, 8);
      faulty.forEach((target) => Object.assign(target, { fault }));
      // A slow target is known by its first late answer, or by its load.
      model.advance(name === 'slow' ? 3_000 : 1_500);
      const at = model.now;
      model.advance(3_000);
      const ids = new Set(faulty.map(({ id }) => id));
      expect(Math.max(...highestShares(model, ids, at, 3))).toBeLessThanOrEqual(0.25);
    });
  });
});
