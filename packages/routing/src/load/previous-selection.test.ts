/** Guards against choices that change although a deployment asks for nothing new. */
import { describe, it } from 'node:test';
import { Random } from '@marigoldbank/base/random';
import { expect } from 'earl';
import { makeTarget } from '../fixtures.js';
import { TargetSelector, type SelectionRequest } from '../TargetSelector.js';
import { TargetTable } from '../TargetTable.js';
import { PreviousSelector } from './PreviousSelector.js';
import { USUAL_PACE } from './TargetPaces.js';

const TARGETS = 60;
const REQUESTS = 2_000;
const STEP_MS = 7;

interface Choice {
  readonly id: string | undefined;
  readonly cost: number | undefined;
  readonly waitMs: number | undefined;
}

/** Choices of a selector with targets whose load, outcomes and cold times change at random, and its next random number. */
function play(
  select: (table: TargetTable, random: Random) => Pick<TargetSelector, 'select'>,
  seed: number,
  extra: Partial<SelectionRequest>,
): (Choice | number)[] {
  const world = new Random(seed);
  const random = new Random(seed + 1);
  const table = new TargetTable();
  Array.from({ length: TARGETS }, (_, i) =>
    makeTarget(`t${i}`, { dataCentre: `dc-${i % 3}`, slots: 1 + (i % 4), coldMs: 50 * i }),
  ).forEach((info) => table.upsert(info, 0));
  const selector = select(table, random);
  const choices = Array.from({ length: REQUESTS }, (_, i): Choice => {
    const now = i * STEP_MS;
    const target = table.get(`t${world.int(TARGETS)}`)!;
    Object.assign(target, { ownInFlight: world.int(3), othersInFlight: world.int(5) });
    table.observe(target.info.id, world.pick(['succeeded', 'failed', 'suspect'] as const)!, now);
    if (world.chance(0.05)) table.recordConnectFailure(target.info.id, now);
    const choice = selector.select(
      {
        service: 'orders',
        canRetry: world.chance(0.5),
        dataCentre: `dc-${world.int(3)}`,
        excluded: new Set([`t${world.int(TARGETS)}`]),
        expectedMs: 100 + world.int(400),
        remainingMs: 200 + world.int(2_000),
        hasIdleConnection: (address) => address.endsWith('3'),
        ...extra,
      },
      now,
    );
    return { id: choice?.target.info.id, cost: choice?.cost, waitMs: choice?.waitMs };
  });
  return [...choices, random.float()];
}

describe('selection without paces', () => {
  [1, 2, 3, 4, 5].forEach((seed) => {
    it(`chooses, expects and draws as before, seed ${seed}`, () => {
      const before = play((table, random) => new PreviousSelector(table, random), seed, {});
      const now = (extra: Partial<SelectionRequest>): (Choice | number)[] =>
        play((table, random) => new TargetSelector(table, random), seed, extra);
      expect(now({})).toEqual(before);
      expect(now({ paces: undefined, among: undefined })).toEqual(before);
    });
  });

  it('chooses as before while all paces are usual', () => {
    const before = play((table, random) => new PreviousSelector(table, random), 6, {});
    const paces = { paceOf: () => USUAL_PACE };
    expect(play((table, random) => new TargetSelector(table, random), 6, { paces })).toEqual(
      before,
    );
  });
});
