import { describe, it } from 'node:test';
import { expect } from 'earl';
import { makeEmptyPlan } from '../testing/fixtures.js';
import { encodeCommand, stateSchema } from './commands.js';
import { PlanStateMachine } from './PlanStateMachine.js';

function order(machine: PlanStateMachine, base: number, isEvacuated: boolean): string {
  const init = { kind: 'orderEvacuation', dataCentre: 'z1', base, id: `${base}` } as const;
  const index = 10 + machine.appliedIndex;
  return Buffer.from(machine.apply(index, encodeCommand({ ...init, isEvacuated }))).toString();
}

describe('EvacuationTable', () => {
  // A start that was pending while an end was committed was applied afterwards.
  it('applies an order only as the next one, also after one that changed nothing', () => {
    const machine = new PlanStateMachine();
    expect(order(machine, 0, false)).toEqual('applied');
    expect(order(machine, 0, true)).toEqual('superseded');
    expect(order(machine, 1, true)).toEqual('applied');
    expect(order(machine, 1, false)).toEqual('superseded');
    expect(order(machine, 5, false)).toEqual('superseded');
    expect(machine.evacuations.messages()).toEqual([
      { dataCentre: 'z1', isEvacuated: true, index: 30n },
    ]);
  });

  // A hub that restarts its log process may be sent a snapshot that is older than what it has.
  it('is restored from a snapshot before its plan takes effect, and not from an older one', () => {
    const machine = new PlanStateMachine();
    const plan = { kind: 'putPlan', document: '', plan: makeEmptyPlan(1) } as const;
    machine.apply(1, encodeCommand(plan));
    order(machine, 0, true);
    const older = machine.snapshot();
    const copy = new PlanStateMachine();
    const events: string[] = [];
    copy.onDidOrderEvacuation((dataCentre) => events.push(dataCentre));
    copy.onDidChangePlan(() => events.push('plan'));
    copy.restore(older);
    expect(events).toEqual(['z1', 'plan']);
    order(copy, 1, false);
    copy.restore(older);
    expect(copy.evacuations.evacuated).toEqual([]);
  });

  it('reads a snapshot of the release before, whose schema drops evacuations', () => {
    const machine = new PlanStateMachine();
    machine.restore(Buffer.from(JSON.stringify({ document: '', plan: null, leaving: {} })));
    order(machine, 0, true);
    const before = stateSchema.omit({ evacuations: true });
    const parsed = before.safeParse(JSON.parse(Buffer.from(machine.snapshot()).toString()));
    expect(parsed.success).toEqual(true);
  });
});
