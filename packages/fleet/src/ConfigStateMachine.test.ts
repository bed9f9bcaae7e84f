import { describe, it } from 'node:test';
import { expect } from 'earl';
import { Random } from '@marigoldbank/base/random';
import type { Lists } from '@marigoldbank/lists/schema';
import { applyChange } from './apply-change.js';
import { verifyAudit } from './AuditTrail.js';
import type { AuditRecord, Change, ChangeResult } from './changes.js';
import { EMPTY_CONFIG, type FleetConfig } from './config.js';
import { ConfigStateMachine, decodeChangeResult, encodeChange } from './ConfigStateMachine.js';
import { makeListsPatch } from './lists-patch.js';

function createLists(teams: readonly string[], keys: Record<string, string[]> = {}): Lists {
  return {
    teams: Object.fromEntries(
      teams.map((team) => [team, { plan: 'basic', keys: keys[team] ?? [] }]),
    ),
    services: { orders: { profile: 'prompt-detection', floor: 0.6 } },
    routes: {},
    plans: { basic: { rate: 10, burst: 10, routes: [], services: ['orders'] } },
  };
}

function header(changeId: string): { changeId: string; operator: string; at: string } {
  return { changeId, operator: 'tester', at: '2026-01-01T00:00:00Z' };
}

function createApply(changeId: string, base: number, lists: Lists): Change {
  return { kind: 'applyLists', ...header(changeId), baseListsRevision: base, lists };
}

function createIssue(changeId: string, team: string, keyId: string): Change {
  return { kind: 'issueKey', ...header(changeId), team, keyId, hash: 'ab'.repeat(32) };
}

function createMachine(): {
  machine: ConfigStateMachine;
  apply: (change: Change) => ChangeResult;
} {
  const machine = new ConfigStateMachine();
  let index = 0;
  return {
    machine,
    apply: (change) => {
      index += 1;
      return decodeChangeResult(machine.apply(index, encodeChange(change)));
    },
  };
}

describe('ConfigStateMachine', () => {
  it('returns the first result to a resent change, also after a snapshot', () => {
    const { machine, apply } = createMachine();
    const change = createApply('c1', 0, createLists(['a']));
    const first = apply(change);
    apply(createIssue('c2', 'a', 'key1'));
    expect(apply(change)).toEqual(first);
    const restored = new ConfigStateMachine();
    restored.restore(machine.snapshot());
    expect(decodeChangeResult(restored.apply(9, encodeChange(change)))).toEqual(first);
    expect(restored.config).toEqual(machine.config);
    expect(machine.audit.records.length).toEqual(2);
  });

  it('reports to an operator with an outdated base what has changed since', () => {
    const { apply } = createMachine();
    apply(createApply('c1', 0, createLists(['a'])));
    const second = apply(createApply('c2', 0, createLists(['a', 'b'])));
    expect(second).toEqual({
      kind: 'conflict',
      currentListsRevision: 1,
      changedSince: [{ revision: 1, operator: 'tester', summary: 'lists applied' }],
    });
  });

  it('never reactivates a withdrawn key, whether it was withdrawn by command or by the list', () => {
    const { machine, apply } = createMachine();
    apply(createApply('c1', 0, createLists(['a'])));
    apply(createIssue('c2', 'a', 'key1'));
    apply(createIssue('c3', 'a', 'key2'));
    apply({ kind: 'withdrawKey', ...header('c4'), keyId: 'key1' });
    apply(createApply('c5', machine.config.listsRevision, createLists(['a'])));
    expect(Object.keys(machine.config.keys)).toEqual([]);
    const revived = createLists(['a'], { a: ['key1', 'key2'] });
    const result = apply(createApply('c6', machine.config.listsRevision, revived));
    expect(result.kind).toEqual('rejected');
  });

  it('rejects dangling references, keys of other teams and unreadable changes', () => {
    const { machine, apply } = createMachine();
    apply(createApply('c1', 0, createLists(['a', 'b'])));
    apply(createIssue('c2', 'a', 'key1'));
    const base = machine.config.listsRevision;
    const foreign = createLists(['a', 'b'], { b: ['key1'] });
    expect(apply(createApply('c3', base, foreign)).kind).toEqual('rejected');
    const dangling = { ...createLists(['a', 'b'], { a: ['key1'] }), plans: {} };
    expect(apply(createApply('c4', base, dangling)).kind).toEqual('rejected');
    const garbage = decodeChangeResult(machine.apply(99, new Uint8Array([1, 2, 3])));
    expect(garbage.kind).toEqual('rejected');
    expect(machine.config.listsRevision).toEqual(base);
  });

  it('keeps a removed entry out of the view until an operator adds it', () => {
    const { machine, apply } = createMachine();
    const entry = {
      vm: 'e1',
      dataCentre: 'dc1',
      callerAddress: '127.0.0.1:1',
      internalAddress: '127.0.0.1:2',
    };
    apply({ kind: 'joinEntries', ...header('c1'), entries: [entry] });
    apply({ kind: 'removeEntry', ...header('c2'), vm: 'e1' });
    apply({ kind: 'joinEntries', ...header('c3'), entries: [entry] });
    expect(machine.config.view).toEqual({ epoch: 2, entries: [] });
    apply({ kind: 'addEntry', ...header('c4'), entry });
    expect(machine.config.view).toEqual({ epoch: 3, entries: [entry] });
    const moved = { ...entry, internalAddress: '127.0.0.1:3' };
    apply({ kind: 'joinEntries', ...header('c5'), entries: [moved] });
    expect(machine.config.view).toEqual({ epoch: 3, entries: [moved] });
  });
});

describe('audit trail', () => {
  it('detects every record that was altered, removed or moved', () => {
    const { machine, apply } = createMachine();
    Array.from({ length: 20 }, (_, i) =>
      apply(createApply(`c${i}`, machine.config.listsRevision, createLists([`team-${i}`]))),
    );
    const { records } = machine.audit;
    expect(verifyAudit(records).kind).toEqual('intact');
    const isBroken = (altered: readonly AuditRecord[]): boolean =>
      verifyAudit(altered).kind === 'broken';
    records.forEach((record, i) => {
      const altered = records.with(i, { ...record, operator: 'someone else' });
      expect(isBroken(altered)).toEqual(true);
      const isInner = i > 0 && i < records.length - 1;
      if (isInner) expect(isBroken(records.toSpliced(i, 1))).toEqual(true);
    });
  });
});

describe('applyChange', () => {
  it('gives an entry that applies the recorded changes the same configuration as control', () => {
    const random = new Random(11);
    const { machine, apply } = createMachine();
    let follower: FleetConfig = EMPTY_CONFIG;
    Array.from({ length: 300 }, (_, i) => {
      const known = machine.config.lists;
      const names = Array.from({ length: 8 }, (__, n) => `t${n}`).filter(() => random.chance(0.5));
      const keys = Object.fromEntries(
        names.map((name) => [name, known.teams[name]?.keys.filter(() => random.chance(0.8)) ?? []]),
      );
      const lists = createLists(names, keys);
      const base = random.chance(0.8) ? machine.config.listsRevision : random.int(i + 1);
      const patch = makeListsPatch(known, lists);
      const change: Change = random.chance(0.3)
        ? createIssue(`k${i}`, `t${random.int(8)}`, `key${i}`)
        : { kind: 'patchLists', ...header(`c${i}`), baseListsRevision: base, patch };
      const before = machine.config.revision;
      apply(change);
      machine.changesSince(before)?.forEach((item) => {
        const effect = applyChange(follower, item);
        if (effect.kind === 'changed') follower = effect.config;
      });
      expect(follower).toEqual(machine.config);
      return undefined;
    });
    expect(machine.config.revision).toBeGreaterThan(100);
  });
});
