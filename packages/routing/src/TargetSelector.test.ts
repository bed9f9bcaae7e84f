import { describe, it } from 'node:test';
import { Random } from '@marigoldbank/base/random';
import { expect } from 'earl';
import { makeTarget } from './fixtures.js';
import { TargetTable } from './TargetTable.js';
import { TargetSelector, type SelectionRequest } from './TargetSelector.js';

function makeRequest(overrides: Partial<SelectionRequest> = {}): SelectionRequest {
  return {
    service: 'orders',
    canRetry: false,
    dataCentre: 'dc-1',
    excluded: new Set(),
    expectedMs: 400,
    remainingMs: 3_000,
    ...overrides,
  };
}

function makeSelector(ids: readonly string[]): { table: TargetTable; selector: TargetSelector } {
  const table = new TargetTable();
  ids.forEach((id) => table.upsert(makeTarget(id), 0));
  return { table, selector: new TargetSelector(table, new Random(7)) };
}

function chooseOften(selector: TargetSelector, req: SelectionRequest, now: number): Set<string> {
  const chosen = Array.from({ length: 50 }, () => selector.select(req, now)?.target.info.id ?? '');
  return new Set(chosen);
}

describe('TargetSelector', () => {
  it('sends a non-retryable request to the target with the latest success', () => {
    const { table, selector } = makeSelector(['t1', 't2', 't3']);
    table.observe('t2', 'succeeded', 1_000);
    expect(chooseOften(selector, makeRequest(), 1_050)).toEqual(new Set(['t2']));
  });

  it('sends no non-retryable request to a failing target while another is available', () => {
    const { table, selector } = makeSelector(['t1', 't2']);
    table.observe('t1', 'succeeded', 900);
    table.observe('t1', 'failed', 1_000);
    expect(chooseOften(selector, makeRequest(), 1_000)).toEqual(new Set(['t2']));
  });

  it('probes a failing target with retryable requests, once per interval', () => {
    const { table, selector } = makeSelector(['t1', 't2']);
    [0, 50, 100].forEach((at) => table.observe('t2', 'succeeded', at));
    table.observe('t1', 'failed', 100);
    const req = makeRequest({ canRetry: true });
    table.get('t2')!.lastTriedAt = 1_990;
    expect(chooseOften(selector, req, 600).has('t1')).toEqual(false);
    expect(chooseOften(selector, req, 2_000)).toEqual(new Set(['t1']));
    table.get('t1')!.lastTriedAt = 2_000;
    expect(chooseOften(selector, req, 2_100).has('t1')).toEqual(false);
  });

  // Load: a third of the targets of lookups resets connections, and the retry budget is used up. Guards against lookups that are
  // lost at failing targets, and against all of them going to the target that succeeded last.
  it('avoids failing targets without a second attempt, and spreads requests over the others', () => {
    const ids = Array.from({ length: 9 }, (_, i) => `t${i}`);
    const { table, selector } = makeSelector(ids);
    ids.slice(0, 3).forEach((id) => table.observe(id, 'failed', 100));
    ids.slice(3).forEach((id, i) => table.observe(id, 'succeeded', 100 + i));
    const req = makeRequest({ canRetry: true });
    const hasFailing = (targets: Set<string>): boolean =>
      ids.slice(0, 3).some((id) => targets.has(id));
    expect(hasFailing(chooseOften(selector, req, 2_000))).toEqual(true);
    const chosen = chooseOften(selector, { ...req, mayProbe: false }, 2_000);
    expect(hasFailing(chosen)).toEqual(false);
    expect(chosen.size).toBeGreaterThanOrEqual(5);
  });

  it('does not probe a failing target when too little time is left for a retry', () => {
    const { table, selector } = makeSelector(['t1', 't2']);
    table.observe('t1', 'failed', 0);
    table.get('t2')!.lastTriedAt = 2_990;
    const req = makeRequest({ canRetry: true, remainingMs: 800 });
    expect(chooseOften(selector, req, 3_000)).toEqual(new Set(['t2']));
  });

  it('prefers targets in the data centre of the entry until their slots are full', () => {
    const { table, selector } = makeSelector(['t1', 't2']);
    table.upsert(makeTarget('t3', { dataCentre: 'dc-2' }), 0);
    ['t1', 't2', 't3'].forEach((id) => table.observe(id, 'succeeded', 10));
    expect(chooseOften(selector, makeRequest(), 20).has('t3')).toEqual(false);
    ['t1', 't2'].forEach((id) => Object.assign(table.get(id)!, { othersInFlight: 9 }));
    expect(chooseOften(selector, makeRequest(), 20)).toEqual(new Set(['t3']));
  });

  it('skips draining and excluded targets and returns undefined when none is left', () => {
    const { table, selector } = makeSelector(['t1', 't2']);
    table.upsert(makeTarget('t1', { isDraining: true }), 0);
    expect(selector.select(makeRequest({ excluded: new Set(['t2']) }), 0)).toEqual(undefined);
  });

  it('avoids a target that this entry cannot connect to, even if other entries report successes', () => {
    const { table, selector } = makeSelector(['t1', 't2']);
    table.recordConnectFailure('t1', 100);
    [110, 120, 130].forEach((at) => table.observe('t1', 'succeeded', at));
    expect(chooseOften(selector, makeRequest(), 140)).toEqual(new Set(['t2']));
    table.recordConnected('t1');
    expect(chooseOften(selector, makeRequest(), 140).has('t1')).toEqual(true);
  });

  // With hundreds of targets nearly every request opened a connection, since equal targets were selected at random.
  it('prefers an idle connection among equal targets, but not to a target that is more likely failing', () => {
    const { table, selector } = makeSelector(['t1', 't2', 't3']);
    ['t1', 't2', 't3'].forEach((id) => table.observe(id, 'succeeded', 1_000));
    const { address } = table.get('t2')!.info;
    const req = makeRequest({ hasIdleConnection: (other) => other === address });
    expect(chooseOften(selector, req, 1_000)).toEqual(new Set(['t2']));
    table.observe('t2', 'suspect', 1_010);
    expect(chooseOften(selector, req, 1_010).has('t2')).toEqual(false);
  });
});
