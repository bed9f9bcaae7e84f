import { describe, it } from 'node:test';
import { expect } from 'earl';
import { encodeCommand } from './commands.js';
import { ConfirmationTracker } from './ConfirmationTracker.js';
import { EntryRegistry } from './EntryRegistry.js';
import { LoadTable } from './LoadTable.js';
import { makeEmptyPlan } from '../testing/fixtures.js';
import { PlanStateMachine } from './PlanStateMachine.js';

function putPlan(machine: PlanStateMachine, version: number, document: string): string {
  const command = encodeCommand({ kind: 'putPlan', document, plan: makeEmptyPlan(version) });
  return Buffer.from(machine.apply(version, command)).toString();
}

function markLeaving(machine: PlanStateMachine, born: number, isGone: boolean, at = 0): void {
  machine.apply(1, encodeCommand({ kind: 'markLeaving', id: 'i-1', born, isGone, at }));
}

describe('PlanStateMachine', () => {
  it('never returns to an older version, and keeps the first content of a version', () => {
    const machine = new PlanStateMachine();
    expect(putPlan(machine, 7, 'seven')).toEqual('applied');
    expect(putPlan(machine, 5, 'five')).toEqual('superseded');
    expect(putPlan(machine, 7, 'other seven')).toEqual('superseded');
    expect(machine.current?.document).toEqual('seven');
  });

  it('restores the same state from a snapshot', () => {
    const machine = new PlanStateMachine();
    putPlan(machine, 7, 'seven');
    markLeaving(machine, 50, true);
    const copy = new PlanStateMachine();
    copy.restore(machine.snapshot());
    expect(copy.current?.document).toEqual('seven');
    expect(copy.leavingMark('i-1', 50)?.isGone).toEqual(true);
    expect(Buffer.from(copy.snapshot())).toEqual(Buffer.from(machine.snapshot()));
  });

  // A hub gets its first plan in a snapshot, and a log process gets the plan that way after a restart.
  it('restores a plan of version 0, and keeps it against a snapshot without a plan', () => {
    const machine = new PlanStateMachine();
    const empty = machine.snapshot();
    putPlan(machine, 0, 'zero');
    const copy = new PlanStateMachine();
    copy.restore(machine.snapshot());
    copy.restore(empty);
    expect(copy.current?.document).toEqual('zero');
  });

  it('marks one incarnation of a target and not a later one with the same id', () => {
    const machine = new PlanStateMachine();
    markLeaving(machine, 50, false);
    expect(machine.leavingMark('i-1', 50)?.isGone).toEqual(false);
    expect(machine.leavingMark('i-1', 60)).toEqual(undefined);
    markLeaving(machine, 60, false);
    markLeaving(machine, 50, true);
    expect(machine.leavingMark('i-1', 60)?.isGone).toEqual(false);
  });

  // A command that counts as in effect is acknowledged, one that does not is proposed again and again.
  it('knows which commands would change nothing', () => {
    const machine = new PlanStateMachine();
    const isPlanInEffect = (version: number): boolean =>
      machine.isInEffect({ kind: 'putPlan', document: '', plan: makeEmptyPlan(version) });
    const isMarkInEffect = (born: number, isGone: boolean): boolean =>
      machine.isInEffect({ kind: 'markLeaving', id: 'i-1', born, isGone, at: 0 });
    expect([isPlanInEffect(1), isMarkInEffect(50, false)]).toEqual([false, false]);
    putPlan(machine, 7, 'seven');
    expect([6, 7, 8].map(isPlanInEffect)).toEqual([true, true, false]);
    markLeaving(machine, 50, false);
    expect([isMarkInEffect(50, false), isMarkInEffect(50, true)]).toEqual([true, false]);
    expect([isMarkInEffect(40, true), isMarkInEffect(60, false)]).toEqual([true, false]);
    markLeaving(machine, 50, true);
    expect(isMarkInEffect(50, true)).toEqual(true);
  });

  it('skips commands that it cannot parse', () => {
    const machine = new PlanStateMachine();
    const command = Buffer.from(JSON.stringify({ kind: 'later' }));
    expect(Buffer.from(machine.apply(1, command)).toString()).toEqual('superseded');
  });
});

describe('ConfirmationTracker', () => {
  it('counts a confirmation only once everything that it covers has been applied', () => {
    const confirmation = new ConfirmationTracker();
    confirmation.record(10, 1_000, 9);
    expect(confirmation.ageMs(1_100)).toEqual(Infinity);
    confirmation.advance(10);
    expect(confirmation.ageMs(1_100)).toEqual(100);
  });
});

describe('EntryRegistry', () => {
  const addEntry = (registry: EntryRegistry, hub: string, vm: string, dataCentre: string): void =>
    registry.set(hub, { vm, address: `${vm}:80`, dataCentre }, true);
  const namesOf = (registry: EntryRegistry, now = 0): string[] =>
    registry
      .advertised(now)
      .map(({ address }) => address)
      .sort();

  it('does not advertise entries that are not ready, disconnected, or connected to a lost hub', () => {
    const registry = new EntryRegistry();
    ['a', 'b', 'c'].forEach((vm) => addEntry(registry, '', vm, 'dc-1'));
    addEntry(registry, 'hub-2', 'd', 'dc-1');
    registry.set('', { vm: 'a', address: 'a:80', dataCentre: 'dc-1' }, false);
    registry.remove('', 'b', 0);
    registry.removeHub('hub-2', 0);
    expect(namesOf(registry)).toEqual(['c:80']);
  });

  it('advertises lost entries as well when few entries remain', () => {
    const registry = new EntryRegistry();
    ['a', 'b', 'c', 'd'].forEach((vm) => addEntry(registry, '', vm, 'dc-1'));
    ['e', 'f', 'g'].forEach((vm) => addEntry(registry, 'hub-2', vm, 'dc-1'));
    registry.set('', { vm: 'd', address: 'd:80', dataCentre: 'dc-1' }, false);
    registry.removeHub('hub-2', 0);
    ['b', 'c', 'd'].forEach((vm) => registry.remove('', vm, 0));
    expect(namesOf(registry)).toEqual(['a', 'b', 'c', 'e', 'f', 'g'].map((vm) => `${vm}:80`));
    expect(namesOf(registry, 60_000)).toEqual(['a:80']);
  });

  it('expects as many entries as the first ones that connect after its start know of', () => {
    const registry = new EntryRegistry();
    registry.noteReportedCount(111, 1_000);
    addEntry(registry, '', 'a', 'dc-1');
    registry.noteReportedCount(1, 1_100);
    addEntry(registry, '', 'b', 'dc-1');
    expect([registry.expectedSize(2_000), registry.expectedSize(10_000)]).toEqual([111, 2]);
  });

  it('counts lost entries as expected for a while, so that the others do not use their share of the budgets', () => {
    const registry = new EntryRegistry();
    ['a', 'b'].forEach((vm) => addEntry(registry, '', vm, 'dc-1'));
    ['c', 'd'].forEach((vm) => addEntry(registry, 'hub-2', vm, 'dc-1'));
    registry.removeHub('hub-2', 1_000);
    registry.remove('', 'b', 1_000);
    expect([registry.size, registry.expectedSize(2_000)]).toEqual([1, 4]);
    addEntry(registry, '', 'c', 'dc-1');
    expect([registry.size, registry.expectedSize(2_000), registry.expectedSize(60_000)]).toEqual([
      2, 4, 2,
    ]);
  });
});

describe('LoadTable', () => {
  it('sums absolute counts of all sources and removes those of a lost source', () => {
    const load = new LoadTable();
    load.set('e1', 't1', 2);
    load.set('e2', 't1', 3);
    load.set('e1', 't1', 1);
    expect(load.total('t1')).toEqual(4);
    expect(load.removeSource('e2')).toEqual(['t1']);
    expect(load.total('t1')).toEqual(1);
    load.set('e1', 't1', 0);
    expect(load.busyTargets()).toEqual([]);
  });
});
