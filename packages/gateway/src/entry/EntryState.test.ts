import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { RoutingPlan } from '@marigoldbank/routing/plan';
import { diffPlanItems, toPlanItems, type PlanChange } from '@marigoldbank/routing/plan-items';
import { EntryBoard } from './EntryState.js';

const BOUNDS = { ratio: 0.2, slack: 60, windowMs: 10_000 };

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

function timeoutOf(board: EntryBoard): number | undefined {
  return board.table?.findRoute('shop.example', '/x')?.timeoutMs;
}

describe('EntryBoard', () => {
  it('adopts a whole plan and then differences to it', () => {
    const board = new EntryBoard(BOUNDS);
    const [first, second] = [makePlan(3, 1_000), makePlan(5, 2_000)];
    board.adoptPlan(0, 3, wholePlan(first));
    board.adoptPlan(3, 5, diffPlanItems(toPlanItems(first), toPlanItems(second)));
    expect([board.version, timeoutOf(board)]).toEqual([5, 2_000]);
  });

  it('does not go back when the next hub is behind', () => {
    const board = new EntryBoard(BOUNDS);
    board.adoptPlan(0, 5, wholePlan(makePlan(5, 2_000)));
    board.adoptPlan(0, 3, wholePlan(makePlan(3, 1_000)));
    expect([board.version, timeoutOf(board)]).toEqual([5, 2_000]);
  });

  it('refuses a difference to a plan that it does not hold', () => {
    const board = new EntryBoard(BOUNDS);
    board.adoptPlan(0, 5, wholePlan(makePlan(5, 2_000)));
    expect(() => board.adoptPlan(3, 7, [])).toThrow('builds on 3');
    expect(board.version).toEqual(5);
  });

  it('does not count an old plan as confirmed by a status that came before the newer plan', () => {
    const board = new EntryBoard(BOUNDS);
    board.adoptPlan(0, 5, wholePlan(makePlan(5, 1_000)));
    const status = { confirmedAgeMs: 0, budgetAgeMs: 0, entries: 1, isLeaderless: false };
    board.setStatus({ ...status, planVersion: 7, receivedAt: 0 });
    expect(board.holdsConfirmedPlan).toEqual(false);
    board.adoptPlan(0, 7, wholePlan(makePlan(7, 1_000)));
    expect(board.holdsConfirmedPlan).toEqual(true);
  });

  it('adds the time since it heard of an age to it', () => {
    const board = new EntryBoard(BOUNDS);
    expect(board.confirmedAgeMs(0)).toEqual(Infinity);
    board.setStatus({
      confirmedAgeMs: 100,
      budgetAgeMs: 1_200,
      entries: 4,
      isLeaderless: false,
      planVersion: 0,
      receivedAt: 1_000,
    });
    expect(board.confirmedAgeMs(1_500)).toEqual(600);
    expect([board.hasBudgetHolder(1_100), board.hasBudgetHolder(1_400)]).toEqual([true, false]);
    expect([board.isFollowing(1_400), board.isFollowing(9_000)]).toEqual([true, false]);
  });
});
