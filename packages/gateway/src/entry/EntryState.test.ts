import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { RoutingPlan } from '@marigoldbank/routing/plan';
import { diffPlanItems, toPlanItems, type PlanChange } from '@marigoldbank/routing/plan-items';
import { EntryState } from './EntryState.js';

const BOUNDS = { ratio: 0.2, slack: 60, windowMs: 10_000 };

const STATUS = {
  confirmedAgeMs: 0,
  budgetAgeMs: 0,
  entries: 1,
  isLeaderless: false,
  isCutOff: false,
  isStarting: false,
};

function makePlan(version: number, timeoutMs: number): RoutingPlan {
  return {
    version,
    routes: [
      {
        name: 'r',
        host: 'shop.example',
        prefix: '/',
        isIdempotent: true,
        timeoutMs,
        objectiveMs: 500,
        priority: 1,
        maxTargets: 2,
        isOpen: true,
        shares: [{ service: 's', weight: 1 }],
      },
    ],
    services: [{ name: 's', maxConnections: 10 }],
    teams: [],
    hasTeams: true,
    limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headersTimeoutMs: 1, idleTimeoutMs: 1 },
  };
}

function wholePlan(plan: RoutingPlan): PlanChange[] {
  return diffPlanItems(new Map(), toPlanItems(plan));
}

function timeoutOf(state: EntryState): number | undefined {
  return state.currentRouteTable?.findRoute('shop.example', '/x')?.timeoutMs;
}

describe('EntryState', () => {
  // Entries served by a plan that had been replaced right before all control VMs lost power.
  describe('a plan that may be in force', () => {
    const changes = wholePlan(makePlan(2, 900));
    const handlesOtherwise = (state: EntryState): boolean =>
      state.mayHandleOtherwise('shop.example', '/x', undefined);
    const start = (): EntryState => {
      const state = new EntryState(BOUNDS);
      state.applyPlan(undefined, 1, wholePlan(makePlan(1, 500)));
      state.confirmPlan(100, 100);
      return state;
    };

    it('could handle each request otherwise before its content is known', () => {
      const state = start();
      state.notePossiblePlan(2, 200);
      expect(handlesOtherwise(state)).toEqual(true);
      state.notePossiblePlan(2, 200, {
        fromVersion: undefined,
        changes: wholePlan(makePlan(2, 500)),
      });
      expect(handlesOtherwise(state)).toEqual(false);
    });

    it('could until it is in force, or until a later confirmation shows that it is not', () => {
      const [applied, confirmed] = [start(), start()];
      [applied, confirmed].forEach((state) =>
        state.notePossiblePlan(2, 200, { fromVersion: undefined, changes }),
      );
      expect([handlesOtherwise(applied), handlesOtherwise(confirmed)]).toEqual([true, true]);
      applied.applyPlan(undefined, 2, changes);
      confirmed.confirmPlan(199, 300);
      expect([handlesOtherwise(applied), handlesOtherwise(confirmed)]).toEqual([false, true]);
      confirmed.confirmPlan(201, 300);
      expect(handlesOtherwise(confirmed)).toEqual(false);
    });

    it('does not count if the plan in effect was confirmed later', () => {
      const state = start();
      state.notePossiblePlan(2, 50, { fromVersion: undefined, changes });
      expect(handlesOtherwise(state)).toEqual(false);
    });
  });

  it('applies a complete plan and then differences to it', () => {
    const state = new EntryState(BOUNDS);
    const [first, second] = [makePlan(3, 1_000), makePlan(5, 2_000)];
    state.applyPlan(undefined, 3, wholePlan(first));
    state.applyPlan(3, 5, diffPlanItems(toPlanItems(first), toPlanItems(second)));
    expect([state.planVersion, timeoutOf(state)]).toEqual([5, 2_000]);
  });

  it('keeps the newer plan when the next hub has an older one', () => {
    const state = new EntryState(BOUNDS);
    state.applyPlan(undefined, 5, wholePlan(makePlan(5, 2_000)));
    state.applyPlan(undefined, 3, wholePlan(makePlan(3, 1_000)));
    expect([state.planVersion, timeoutOf(state)]).toEqual([5, 2_000]);
  });

  it('rejects a difference to another plan than the one in effect', () => {
    const state = new EntryState(BOUNDS);
    state.applyPlan(undefined, 5, wholePlan(makePlan(5, 2_000)));
    expect(() => state.applyPlan(3, 7, [])).toThrow('builds on 3');
    expect(state.planVersion).toEqual(5);
  });

  it('does not consider an old plan confirmed when a status arrives before the newer plan', () => {
    const state = new EntryState(BOUNDS);
    state.applyPlan(undefined, 5, wholePlan(makePlan(5, 1_000)));
    state.setStatus({ ...STATUS, planVersion: 7, trueAt: 0 }, 0);
    expect(state.hasConfirmedPlan).toEqual(false);
    state.applyPlan(undefined, 7, wholePlan(makePlan(7, 1_000)));
    expect(state.hasConfirmedPlan).toEqual(true);
  });

  // An entry without a plan took a status about version 0 for a confirmation of what it had.
  it('has no confirmed plan before version 0 has arrived', () => {
    const state = new EntryState(BOUNDS);
    state.setStatus({ ...STATUS, planVersion: 0, trueAt: 0 }, 0);
    expect([state.hasConfirmedPlan, state.planAgeMs(0)]).toEqual([false, Infinity]);
    state.applyPlan(undefined, 0, wholePlan(makePlan(0, 1_000)));
    expect([state.hasConfirmedPlan, state.planAgeMs(0)]).toEqual([true, 0]);
  });

  // After a restart of all control VMs each entry took its share of the budgets by the few entries that had reconnected.
  it('keeps to the number of entries in its fleet while a hub that has just started counts fewer', () => {
    const state = new EntryState(BOUNDS);
    const countAt = (trueAt: number, entries: number): number => {
      const ages = { confirmedAgeMs: 0, budgetAgeMs: 0 };
      state.setStatus(
        {
          ...ages,
          entries,
          isLeaderless: false,
          isCutOff: false,
          isStarting: false,
          planVersion: 0,
          trueAt,
        },
        trueAt,
      );
      return state.entryCount;
    };
    const counts = [
      [1_000, 111],
      [2_000, 3],
      [4_000, 111],
      [20_000, 60],
      [25_000, 60],
    ] as const;
    expect(counts.map(([at, entries]) => countAt(at, entries))).toEqual([111, 111, 111, 111, 60]);
  });

  it('adds the time since the status was received to its ages', () => {
    const state = new EntryState(BOUNDS);
    expect(state.confirmedAgeMs(0)).toEqual(Infinity);
    state.setStatus(
      {
        confirmedAgeMs: 100,
        budgetAgeMs: 1_200,
        entries: 4,
        isLeaderless: false,
        isCutOff: false,
        isStarting: false,
        planVersion: 0,
        trueAt: 1_000,
      },
      1_000,
    );
    expect(state.confirmedAgeMs(1_500)).toEqual(600);
    expect([state.hasBudgetHolder(1_100), state.hasBudgetHolder(1_400)]).toEqual([true, false]);
    expect([state.isFollowingHub(1_400), state.isFollowingHub(9_000)]).toEqual([true, false]);
  });

  // The monotonic clock of a VM that was suspended stands still, so that a withdrawn key or an old plan seemed to be in force.
  it('counts the time for which the VM was suspended, and no small correction of the time of day', () => {
    let timeOfDay = 1_000_000;
    const state = new EntryState(BOUNDS, undefined, () => timeOfDay);
    const status = {
      confirmedAgeMs: 100,
      budgetAgeMs: 100,
      entries: 4,
      isLeaderless: false,
      isCutOff: false,
      isStarting: false,
      planVersion: 0,
      trueAt: 0,
    };
    state.setStatus(status, 0);
    timeOfDay += 600;
    expect([state.confirmedAgeMs(300), state.hasBudgetHolder(300)]).toEqual([400, true]);
    timeOfDay += 5_000;
    expect(state.confirmedAgeMs(300)).toEqual(5_700);
    expect([state.hasBudgetHolder(300), state.isFollowingHub(300)]).toEqual([false, false]);
    state.setStatus({ ...status, trueAt: 350 }, 400);
    expect([state.confirmedAgeMs(400), state.hasBudgetHolder(400)]).toEqual([150, true]);
    timeOfDay -= 8_000;
    expect(state.confirmedAgeMs(400)).toEqual(150);
  });

  // A hub that is cut off confirms its own plan for ever older; another control VM may know better.
  it('dates its plan by the newest confirmation of the hub or another control VM, if it has that plan', () => {
    const state = new EntryState(BOUNDS, undefined, () => 0);
    const status = {
      confirmedAgeMs: 100,
      budgetAgeMs: 100,
      entries: 4,
      isLeaderless: false,
      isCutOff: false,
      isStarting: false,
    };
    state.applyPlan(undefined, 5, wholePlan(makePlan(5, 1_000)));
    expect(state.planAgeMs(0)).toEqual(Infinity);
    state.setStatus({ ...status, planVersion: 5, trueAt: 1_000 }, 1_000);
    expect(state.planAgeMs(1_000)).toEqual(100);
    // The hub has confirmed a newer plan, which has not arrived.
    state.setStatus({ ...status, planVersion: 7, trueAt: 2_000 }, 2_000);
    expect(state.planAgeMs(2_000)).toEqual(1_100);
    state.applyPlan(undefined, 7, wholePlan(makePlan(7, 1_000)));
    expect(state.planAgeMs(2_000)).toEqual(100);
    state.confirmPlan(2_500, 2_600);
    expect([state.planAgeMs(2_600), state.confirmedAgeMs(2_600)]).toEqual([100, 700]);
    state.confirmPlan(2_400, 2_600);
    expect(state.planAgeMs(2_600)).toEqual(100);
  });

  it('counts the time for which the VM was suspended as age of its plan', () => {
    let timeOfDay = 0;
    const state = new EntryState(BOUNDS, undefined, () => timeOfDay);
    state.applyPlan(undefined, 5, wholePlan(makePlan(5, 1_000)));
    state.confirmPlan(0, 0);
    timeOfDay = 5_000;
    expect(state.planAgeMs(10)).toEqual(5_000);
  });
});
