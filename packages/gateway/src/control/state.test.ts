import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { RoutingPlan } from '@marigoldbank/routing/plan';
import { encodeCommand } from './commands.js';
import { ConfirmationTracker } from './ConfirmationTracker.js';
import { EntryRegistry } from './EntryRegistry.js';
import { LoadTable } from './LoadTable.js';
import { PlanStateMachine } from './PlanStateMachine.js';

function makePlan(version: number): RoutingPlan {
  return {
    version,
    routes: [],
    services: [],
    teams: [],
    hasTeams: true,
    limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headersTimeoutMs: 1, idleTimeoutMs: 1 },
  };
}

function putPlan(machine: PlanStateMachine, version: number, document: string): string {
  const command = encodeCommand({ kind: 'putPlan', document, plan: makePlan(version) });
  return Buffer.from(machine.apply(version, command)).toString();
}

function markLeaving(machine: PlanStateMachine, born: number, isGone: boolean, at = 0): void {
  machine.apply(1, encodeCommand({ kind: 'markLeaving', id: 'i-1', born, isGone, at }));
}

describe('PlanMachine', () => {
  it('never goes back, and keeps the first content of a version', () => {
    const machine = new PlanStateMachine();
    expect(putPlan(machine, 7, 'seven')).toEqual('applied');
    expect(putPlan(machine, 5, 'five')).toEqual('superseded');
    expect(putPlan(machine, 7, 'other seven')).toEqual('superseded');
    expect(machine.current?.document).toEqual('seven');
  });

  it('is the same after a snapshot', () => {
    const machine = new PlanStateMachine();
    putPlan(machine, 7, 'seven');
    markLeaving(machine, 50, true);
    const copy = new PlanStateMachine();
    copy.restore(machine.snapshot());
    expect(copy.current?.document).toEqual('seven');
    expect(copy.markOf('i-1', 50)?.isGone).toEqual(true);
    expect(Buffer.from(copy.snapshot())).toEqual(Buffer.from(machine.snapshot()));
  });

  it('marks one start of a target and not a later one under the same id', () => {
    const machine = new PlanStateMachine();
    markLeaving(machine, 50, false);
    expect(machine.markOf('i-1', 50)?.isGone).toEqual(false);
    expect(machine.markOf('i-1', 60)).toEqual(undefined);
    markLeaving(machine, 60, false);
    markLeaving(machine, 50, true);
    expect(machine.markOf('i-1', 60)?.isGone).toEqual(false);
  });

  it('passes over commands that it cannot read', () => {
    const machine = new PlanStateMachine();
    const command = Buffer.from(JSON.stringify({ kind: 'later' }));
    expect(Buffer.from(machine.apply(1, command)).toString()).toEqual('superseded');
  });
});

describe('Confirmation', () => {
  it('counts a confirmation only once everything that it vouches for is held', () => {
    const confirmation = new ConfirmationTracker();
    confirmation.note(10, 1_000, 9);
    expect(confirmation.ageMs(1_100)).toEqual(Infinity);
    confirmation.advance(10);
    expect(confirmation.ageMs(1_100)).toEqual(100);
  });
});

describe('Fleet', () => {
  const addEntry = (fleet: EntryRegistry, hub: string, vm: string, dataCentre: string): void =>
    fleet.set(hub, { vm, address: `${vm}:80`, dataCentre }, true);
  const namesOf = (fleet: EntryRegistry, now = 0): string[] =>
    fleet
      .named(now)
      .map(({ address }) => address)
      .sort();

  it('names no entry that is not ready, left, or followed a hub that is lost', () => {
    const fleet = new EntryRegistry();
    ['a', 'b', 'c'].forEach((vm) => addEntry(fleet, '', vm, 'dc-1'));
    addEntry(fleet, 'hub-2', 'd', 'dc-1');
    fleet.set('', { vm: 'a', address: 'a:80', dataCentre: 'dc-1' }, false);
    fleet.remove('', 'b', 0);
    fleet.removeHub('hub-2', 0);
    expect(namesOf(fleet)).toEqual(['c:80']);
  });

  it('names the entries that it has lost sight of when hardly any are left', () => {
    const fleet = new EntryRegistry();
    ['a', 'b', 'c', 'd'].forEach((vm) => addEntry(fleet, '', vm, 'dc-1'));
    ['e', 'f', 'g'].forEach((vm) => addEntry(fleet, 'hub-2', vm, 'dc-1'));
    fleet.set('', { vm: 'd', address: 'd:80', dataCentre: 'dc-1' }, false);
    fleet.removeHub('hub-2', 0);
    ['b', 'c', 'd'].forEach((vm) => fleet.remove('', vm, 0));
    expect(namesOf(fleet)).toEqual(['a', 'b', 'c', 'e', 'f', 'g'].map((vm) => `${vm}:80`));
    expect(namesOf(fleet, 60_000)).toEqual(['a:80']);
  });

  it('expects entries back for a while, so that those that remain do not share out their budgets', () => {
    const fleet = new EntryRegistry();
    ['a', 'b'].forEach((vm) => addEntry(fleet, '', vm, 'dc-1'));
    ['c', 'd'].forEach((vm) => addEntry(fleet, 'hub-2', vm, 'dc-1'));
    fleet.removeHub('hub-2', 1_000);
    fleet.remove('', 'b', 1_000);
    expect([fleet.size, fleet.expected(2_000)]).toEqual([1, 4]);
    addEntry(fleet, '', 'c', 'dc-1');
    expect([fleet.size, fleet.expected(2_000), fleet.expected(60_000)]).toEqual([2, 4, 2]);
  });
});

describe('LoadTable', () => {
  it('sums absolute reports of all sources and forgets a lost one', () => {
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
