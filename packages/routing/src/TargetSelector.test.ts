import { describe, it } from 'node:test';
import { Random } from '@marigoldbank/base/random';
import { expect } from 'earl';
import { makeTarget } from './fixtures.js';
import { TargetTable } from './TargetTable.js';
import { TargetSelector, type SelectionRequest } from './TargetSelector.js';

function makeRequest(overrides: Partial<SelectionRequest> = {}): SelectionRequest {
  return {
    service: 'orders',
    canRepeat: false,
    dataCentre: 'dc-1',
    excluded: new Set(),
    expectedMs: 400,
    remainingMs: 3_000,
    ...overrides,
  };
}

function makeSelector(ids: readonly string[]): { board: TargetTable; selector: TargetSelector } {
  const board = new TargetTable();
  ids.forEach((id) => board.upsert(makeTarget(id), 0));
  return { board, selector: new TargetSelector(board, new Random(7)) };
}

function chooseOften(selector: TargetSelector, req: SelectionRequest, now: number): Set<string> {
  const chosen = Array.from({ length: 50 }, () => selector.select(req, now)?.target.info.id ?? '');
  return new Set(chosen);
}

describe('TargetSelector', () => {
  it('sends a request that may run once where something succeeded a moment ago', () => {
    const { board, selector } = makeSelector(['t1', 't2', 't3']);
    board.observe('t2', 'succeeded', 1_000);
    expect(chooseOften(selector, makeRequest(), 1_050)).toEqual(new Set(['t2']));
  });

  it('never sends it to a failing target while another is left', () => {
    const { board, selector } = makeSelector(['t1', 't2']);
    board.observe('t1', 'succeeded', 900);
    board.observe('t1', 'failed', 1_000);
    expect(chooseOften(selector, makeRequest(), 1_000)).toEqual(new Set(['t2']));
  });

  it('probes a failing target with requests that may be repeated, once an interval', () => {
    const { board, selector } = makeSelector(['t1', 't2']);
    [0, 50, 100].forEach((at) => board.observe('t2', 'succeeded', at));
    board.observe('t1', 'failed', 100);
    const req = makeRequest({ canRepeat: true });
    board.get('t2')!.lastTriedAt = 1_990;
    expect(chooseOften(selector, req, 600).has('t1')).toEqual(false);
    expect(chooseOften(selector, req, 2_000)).toEqual(new Set(['t1']));
    board.get('t1')!.lastTriedAt = 2_000;
    expect(chooseOften(selector, req, 2_100).has('t1')).toEqual(false);
  });

  it('does not probe a failing target when the time left is short', () => {
    const { board, selector } = makeSelector(['t1', 't2']);
    board.observe('t1', 'failed', 0);
    board.get('t2')!.lastTriedAt = 2_990;
    const req = makeRequest({ canRepeat: true, remainingMs: 800 });
    expect(chooseOften(selector, req, 3_000)).toEqual(new Set(['t2']));
  });

  it('stays in the data centre of the entry while that has room', () => {
    const { board, selector } = makeSelector(['t1', 't2']);
    board.upsert(makeTarget('t3', { dataCentre: 'dc-2' }), 0);
    ['t1', 't2', 't3'].forEach((id) => board.observe(id, 'succeeded', 10));
    expect(chooseOften(selector, makeRequest(), 20).has('t3')).toEqual(false);
    ['t1', 't2'].forEach((id) => Object.assign(board.get(id)!, { othersInFlight: 9 }));
    expect(chooseOften(selector, makeRequest(), 20)).toEqual(new Set(['t3']));
  });

  it('leaves out draining and excluded targets and says when none is left', () => {
    const { board, selector } = makeSelector(['t1', 't2']);
    board.upsert(makeTarget('t1', { isDraining: true }), 0);
    expect(selector.select(makeRequest({ excluded: new Set(['t2']) }), 0)).toEqual(undefined);
  });

  it('leaves out a target that only this entry cannot reach, however good others find it', () => {
    const { board, selector } = makeSelector(['t1', 't2']);
    board.noteUnreachable('t1', 100);
    [110, 120, 130].forEach((at) => board.observe('t1', 'succeeded', at));
    expect(chooseOften(selector, makeRequest(), 140)).toEqual(new Set(['t2']));
    board.noteReached('t1');
    expect(chooseOften(selector, makeRequest(), 140).has('t1')).toEqual(true);
  });
});
