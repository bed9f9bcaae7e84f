import { describe, it } from 'node:test';
import { makePlan } from '@marigoldbank/routing/fixtures';
import { expect } from 'earl';

import { encodeCommand, type CommandInit } from './commands.js';
import { OrderHistory } from './OrderHistory.js';
import { PlanStateMachine } from './PlanStateMachine.js';

const APPLIED_AT = '2026-03-01T10:00:00.000Z';

function evacuate(base: number, isEvacuated: boolean): CommandInit {
  return { kind: 'orderEvacuation', dataCentre: 'z1', isEvacuated, base, id: `o-${base}` };
}

function apply(stateMachine: PlanStateMachine, commands: readonly CommandInit[]): void {
  commands.forEach((command, i) => stateMachine.apply(i + 1, encodeCommand(command)));
}

describe('OrderHistory', () => {
  // Guards against a history that shows orders as in force which came too late to have an effect.
  it('lists orders with what they had an effect on', () => {
    const stateMachine = new PlanStateMachine();
    const history = new OrderHistory(stateMachine, () => Date.parse(APPLIED_AT));
    const plan = makePlan({ version: 7 });
    apply(stateMachine, [
      { kind: 'putPlan', document: '{}', plan },
      evacuate(0, true),
      evacuate(0, false),
      evacuate(1, false),
    ]);
    const listed = history
      .list()
      .map(({ order, subject, hasEffect }) => [order, subject, hasEffect]);
    expect(listed).toEqual([
      ['configuration', '7', true],
      ['evacuation started', 'z1', true],
      ['evacuation ended', 'z1', false],
      ['evacuation ended', 'z1', true],
    ]);
    expect(history.list()[0]).toEqual({
      index: 1,
      appliedAt: APPLIED_AT,
      order: 'configuration',
      subject: '7',
      hasEffect: true,
    });
  });

  it('keeps the last 500 orders', () => {
    const stateMachine = new PlanStateMachine();
    const history = new OrderHistory(stateMachine);
    apply(
      stateMachine,
      Array.from({ length: 600 }, (_, i) => evacuate(i, i % 2 === 0)),
    );
    expect(history.list().map(({ index }) => index)).toEqual(
      Array.from({ length: 500 }, (_, i) => 101 + i),
    );
  });
});
