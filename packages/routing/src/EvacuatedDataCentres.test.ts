import { describe, it } from 'node:test';
import { expect } from 'earl';
import { EvacuatedDataCentres, STORED_ORDER_MS } from './EvacuatedDataCentres.js';

function notice(index: number, isEvacuated: boolean): Parameters<EvacuatedDataCentres['learn']>[0] {
  return [{ dataCentre: 'z1', isEvacuated, index }];
}

describe('EvacuatedDataCentres', () => {
  // A hub that is cut off goes on naming the order before.
  it('follows the order with the highest index, whoever names it', () => {
    const table = new EvacuatedDataCentres();
    table.learn(notice(7, true), 0);
    table.learn(notice(5, false), 10);
    table.learn([], 20);
    expect([table.isEvacuated('z1', 30), table.isEvacuated('z2', 30)]).toEqual([true, false]);
    table.learn(notice(9, false), 40);
    table.learn(notice(7, true), 50);
    expect(table.isEvacuated('z1', 60)).toEqual(false);
  });

  // Targets of an entry that missed the whole evacuation may be cold, those of one that has just started are announced as such.
  it('tells once of an end, also without the start, but not of those before the entry started', () => {
    const table = new EvacuatedDataCentres();
    const ends: number[] = [];
    table.onDidEnd(({ at }) => ends.push(at));
    table.learn(notice(5, false), 10);
    table.learn(notice(8, false), 20);
    table.learn(notice(8, false), 30);
    expect(ends).toEqual([20]);
  });

  // An order that no majority has stored is replaced by the next leader, and no newer index ever ends it.
  it('forgets a stored order that is not committed, and takes one that is', () => {
    const table = new EvacuatedDataCentres();
    table.learn(notice(0, true), 100);
    expect(table.isEvacuated('z1', 100 + STORED_ORDER_MS - 1)).toEqual(true);
    expect(table.isEvacuated('z1', 100 + STORED_ORDER_MS)).toEqual(false);
    table.learn(notice(0, true), 200);
    table.learn(notice(3, false), 210);
    expect(table.isEvacuated('z1', 220)).toEqual(false);
  });
});
