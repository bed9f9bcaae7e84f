import { describe, it } from 'node:test';
import { expect } from 'earl';
import { isOpen, type Level } from './LevelPolicy.js';
import { RankLevelPolicy } from './RankLevelPolicy.js';
import { ServiceLoadTable, type OfferedRate } from './ServiceLoadTable.js';

const STEP_MS = 500;
const MAX_RISE = 0.1;

function offer(rank: number, perSecond: number): OfferedRate {
  return { rank, team: '', perSecond, arriving: perSecond, fresh: perSecond };
}

const OVERLOAD = {
  offered: [offer(0, 300), offer(1, 600)],
  room: 500,
  busyShare: 1,
  queued: 0,
};

function overloaded(): { policy: RankLevelPolicy; level: Level } {
  const policy = new RankLevelPolicy();
  return { policy, level: policy.update(OVERLOAD, 0) };
}

describe('RankLevelPolicy', () => {
  // Guards against levels that open at once after an overload, or stay closed.
  it('tightens at once and relaxes by a tenth in each update', () => {
    const { policy, level } = overloaded();
    expect(level.ranks.get(0)).toEqual(undefined);
    const first = level.ranks.get(1)!;
    expect(first < 0.5).toEqual(true);
    const steps = Array.from({ length: 10 }, (_, i) =>
      policy.update({ ...OVERLOAD, offered: [offer(0, 100)] }, (i + 1) * STEP_MS),
    );
    expect(steps[0]!.ranks.get(1)).toEqual(first + MAX_RISE);
    expect(isOpen(steps.at(-1)!)).toEqual(true);
  });

  // Guards against a level that leaves targets idle, so that nothing shows any more that there is room.
  it('ends while slots are free, whatever the estimate of the room', () => {
    const { policy } = overloaded();
    const idle = { ...OVERLOAD, room: 0, busyShare: 0 };
    const last = Array.from({ length: 12 }, (_, i) => policy.update(idle, i * STEP_MS)).at(-1)!;
    expect(isOpen(last)).toEqual(true);
  });
});

describe('ServiceLoadTable', () => {
  // Guards against demand that grows by the refusals that it causes, and teams that count above their own limit.
  it('subtracts returning callers and what the limits of teams refuse', () => {
    const table = new ServiceLoadTable(0);
    table.setTeamLimits(new Map([['north', 20]]));
    const key = { service: 'loans', dataCentre: 'dc-1', rank: 0 };
    Array.from({ length: 100 }, (_, i) => (i + 1) * 100).forEach((now) => {
      table.addDemand({ ...key, team: '', offered: 10, refused: 5 }, now);
      table.addDemand({ ...key, team: 'north', offered: 10, refused: 0 }, now);
    });
    const [others, north] = table.demandOf('loans', 10_000).map(({ perSecond }) => perSecond);
    expect(Math.abs(others! - 60) < 5).toEqual(true);
    expect(Math.abs(north! - 20) < 1).toEqual(true);
  });

  // Guards against time in the queues of targets that counts as processing, so that the room shrinks under load.
  it('knows the room from slots in use and ended requests, also with queues', () => {
    const table = new ServiceLoadTable(0);
    const target = { id: 't1', service: 'loans', dataCentre: 'dc-1', slots: 3 };
    table.setTargets([target]);
    Array.from({ length: 50 }, (_, i) => (i + 1) * 200).forEach((now) => {
      table.addEnded('loans', 3, now);
      table.sample(() => 15, 1, now);
    });
    const [room] = table.roomOf('loans', 10_000);
    expect(Math.abs(room!.perSecond - 15) < 1.5).toEqual(true);
  });
});
