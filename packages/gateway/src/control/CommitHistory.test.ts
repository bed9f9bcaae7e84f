import { describe, it } from 'node:test';
import { VirtualClock } from '@marigoldbank/base/virtual-clock';
import { NullLogger } from '@marigoldbank/daemon/telemetry/NullLogger';
import { makeRoute } from '@marigoldbank/routing/fixtures';
import type { Route } from '@marigoldbank/routing/plan';
import { decodePlanChanges } from '@marigoldbank/routing/plan-items';
import { expect } from 'earl';
import { FakeStoredLog } from '../testing/FakeStoredLog.js';
import { makeEmptyPlan } from '../testing/fixtures.js';
import { encodeCommand } from './commands.js';
import type { HeldState } from '../sync/HeldState.js';
import { CommitHistory } from './CommitHistory.js';
import { PlanStateMachine } from './PlanStateMachine.js';

interface Fixture {
  readonly clock: VirtualClock;
  readonly stateMachine: PlanStateMachine;
  readonly history: CommitHistory;
}

function makeHistory(): Fixture {
  const clock = new VirtualClock();
  const stateMachine = new PlanStateMachine();
  const confirmation = { confirmedAgeMs: () => Infinity };
  const history = new CommitHistory({
    clock,
    stateMachine,
    confirmation,
    log: new FakeStoredLog(),
    logger: new NullLogger(),
  });
  return { clock, stateMachine, history };
}

function commitPlan(stateMachine: PlanStateMachine, version: number): void {
  const plan = makeEmptyPlan(version);
  stateMachine.apply(version, encodeCommand({ kind: 'putPlan', document: '', plan }));
}

function mark(stateMachine: PlanStateMachine, index: number, id: string): void {
  const command = { kind: 'markLeaving', id, born: 1, isGone: false, at: 0 } as const;
  stateMachine.apply(index, encodeCommand(command));
}

/** Ids of the targets that an entry is told of which knows those up to an index. */
function leavingFor({ history }: Fixture, index: number): string[] {
  const held: HeldState = { planVersion: 1, index };
  return (history.stateFor(held)?.leaving ?? []).map(({ id }) => id ?? '');
}

describe('CommitHistory', () => {
  it('names targets that leave after the index that an entry has, for a minute', () => {
    const fixture = makeHistory();
    commitPlan(fixture.stateMachine, 1);
    mark(fixture.stateMachine, 2, 'a');
    mark(fixture.stateMachine, 3, 'b');
    expect([0, 2, 3].map((index) => leavingFor(fixture, index))).toEqual([['a', 'b'], ['b'], []]);
    fixture.clock.advance(60_001);
    expect(leavingFor(fixture, 0)).toEqual([]);
  });

  // The marks of a snapshot have no index. An entry that has heard from other control VMs was told of none of them.
  it('names the targets of a snapshot to all entries until the next command', () => {
    const other = makeHistory();
    commitPlan(other.stateMachine, 1);
    mark(other.stateMachine, 2, 'a');
    const fixture = makeHistory();
    fixture.stateMachine.restore(other.stateMachine.snapshot());
    expect(leavingFor(fixture, 500)).toEqual(['a']);
    mark(fixture.stateMachine, 501, 'b');
    expect([500, 501].map((index) => leavingFor(fixture, index))).toEqual([['a', 'b'], []]);
  });

  it('says nothing before the first plan, and no age without a confirmation', () => {
    const { stateMachine, history } = makeHistory();
    expect(history.stateFor({ planVersion: 1, index: 0 })).toEqual(undefined);
    commitPlan(stateMachine, 1);
    const state = history.stateFor({ planVersion: 1, index: 0 });
    expect([state?.version, state?.confirmedAgeMs]).toEqual([1n, undefined]);
  });

  // After a loss of power nothing is committed before there is a leader, and entries go by what is stored.
  it('tells of a stored plan of version 0, and the changes from it', () => {
    const clock = new VirtualClock();
    const log = new FakeStoredLog();
    const history = new CommitHistory({
      clock,
      stateMachine: new PlanStateMachine(),
      confirmation: { confirmedAgeMs: () => Infinity },
      log,
      logger: new NullLogger(),
    });
    log.store({ kind: 'markLeaving', id: 'a', born: 1, isGone: false, at: 0 });
    const putPlan = (version: number, routes: Route[]): void =>
      log.store({ kind: 'putPlan', document: '', plan: { ...makeEmptyPlan(version), routes } });
    const routes = [makeRoute({ prefix: '/a/' }), makeRoute({ prefix: '/b/' })];
    putPlan(0, routes);
    const held = { planVersion: 0, index: 0 };
    expect(history.stateFor(held)?.stored?.version).toEqual(0n);
    putPlan(1, [...routes, makeRoute({ prefix: '/c/' })]);
    const stored = history.stateFor(held)?.stored;
    expect(stored?.version).toEqual(1n);
    expect(decodePlanChanges(stored!.changes!).length).toEqual(1);
  });

  // A change of six routes did not fit, so that each entry of a fleet fetched it by a call while the log processes were saturated, and
  // refused all requests until it came.
  it('has the changes of six routes in an answer, committed or stored', () => {
    const clock = new VirtualClock();
    const stateMachine = new PlanStateMachine();
    const log = new FakeStoredLog();
    const logger = new NullLogger();
    const confirmation = { confirmedAgeMs: () => Infinity };
    const history = new CommitHistory({ clock, stateMachine, confirmation, log, logger });
    const routes = Array.from({ length: 6 }, (_, i) => makeRoute({ prefix: `/route-${i}/` }));
    const plans = [1, 2, 3].map((version) => ({
      ...makeEmptyPlan(version),
      routes: routes.slice(0, 6 * (version - 1)).map((route) => ({ ...route, timeoutMs: version })),
    }));
    const commands = plans.map((plan) => ({ kind: 'putPlan', document: '', plan }) as const);
    commands.forEach((command) => log.store(command));
    commands.slice(0, 2).forEach((command, i) => stateMachine.apply(i + 1, encodeCommand(command)));
    log.commitIndex = 2;
    const state = history.stateFor({ planVersion: 1, index: 0 });
    expect(state?.changes?.length ?? 0).toBeGreaterThan(900);
    expect(state?.isPlanLeftOut).toEqual(false);
    expect(state?.stored?.changes?.length ?? 0).toBeGreaterThan(900);
  });
});
