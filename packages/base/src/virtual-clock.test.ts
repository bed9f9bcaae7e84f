import { describe, it } from 'node:test';
import { expect } from 'earl';
import { setPeriodic } from './clock.js';
import { Random } from './random.js';
import { firstOfEachDataCentre, rankAcrossDataCentres, rankVms } from './rendezvous.js';
import { VirtualClock } from './virtual-clock.js';

describe('VirtualClock', () => {
  it('fires timers in order of due time, and those due together in the order they were set', () => {
    const random = new Random(7);
    const clock = new VirtualClock();
    const fired: number[] = [];
    const delays = Array.from({ length: 500 }, () => random.int(50));
    delays.forEach((delayMs, i) => clock.setTimeout(() => fired.push(i), delayMs));
    clock.advance(50);
    const expected = delays
      .map((delayMs, i) => ({ delayMs, i }))
      .sort((a, b) => a.delayMs - b.delayMs || a.i - b.i)
      .map(({ i }) => i);
    expect(fired).toEqual(expected);
  });

  it('fires neither a cancelled timer nor a periodic one after its disposal', () => {
    const clock = new VirtualClock();
    let count = 0;
    clock
      .setTimeout(() => {
        count += 100;
      }, 5)
      .dispose();
    const periodic = setPeriodic(
      clock,
      () => {
        count += 1;
      },
      10,
    );
    clock.advance(35);
    periodic.dispose();
    clock.advance(100);
    expect(count).toEqual(3);
  });
});

describe('rendezvous ranking', () => {
  const vms = Array.from({ length: 48 }, (_, i) => ({
    vm: `vm-${i}`,
    dataCentre: `dc-${i % 3}`,
  }));

  it('reassigns only the keys of a removed VM', () => {
    const keys = Array.from({ length: 1000 }, (_, i) => `key-${i}`);
    const rest = vms.slice(1);
    const moved = keys.filter((key) => rankVms(key, vms)[0] !== rankVms(key, rest)[0]);
    expect(moved.every((key) => rankVms(key, vms)[0]?.vm === 'vm-0')).toEqual(true);
  });

  it('alternates over data centres', () => {
    const first = rankAcrossDataCentres('orders', vms).slice(0, 6);
    expect(new Set(first.slice(0, 3).map((vm) => vm.dataCentre)).size).toEqual(3);
    expect(new Set(first.slice(3).map((vm) => vm.dataCentre)).size).toEqual(3);
    expect(firstOfEachDataCentre('orders', vms).length).toEqual(3);
  });
});
