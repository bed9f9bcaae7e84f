/** Passes the view and the rate limits in force to the budgets, and the view to the claims. */
import { isDeepStrictEqual } from 'node:util';
import type { Clock } from '@marigoldbank/base/clock';
import { DisposableStore } from '@marigoldbank/base/lifecycle';
import type { IFleetBudgets } from '@marigoldbank/budgets';
import type { IClaimRegistry } from '@marigoldbank/claims';
import type { Blackboard, ConfigSection } from '../Blackboard.js';

export interface LimitControllerOptions {
  readonly clock: Clock;
  readonly blackboard: Blackboard;
  readonly budgets: IFleetBudgets;
  readonly claims: IClaimRegistry;
}

/** Whether no limit differs. Changes of keys or routes keep the limits, and the budgets must not wait for their acceptance. */
function hasSameLimits(before: ConfigSection, after: ConfigSection): boolean {
  const oldLists = before.config.lists;
  const newLists = after.config.lists;
  if (oldLists.teams === newLists.teams && oldLists.plans === newLists.plans) return true;
  const teams = Object.keys(newLists.teams);
  return (
    teams.length === Object.keys(oldLists.teams).length &&
    teams.every((team) => isDeepStrictEqual(before.lists.planOf(team), after.lists.planOf(team)))
  );
}

export class LimitController extends DisposableStore {
  private section: ConfigSection | undefined;

  private isMarkedAccepted = false;

  public constructor(private readonly options: LimitControllerOptions) {
    super();
    const { blackboard } = options;
    this.add(blackboard.config.onDidChange((section) => this.adopt(section)));
    this.add(blackboard.freshness.onDidChange(() => this.markAccepted()));
    this.adopt(blackboard.config.value);
  }

  private adopt(section: ConfigSection | undefined): void {
    if (section === undefined) return;
    const { budgets, claims } = this.options;
    const { view } = section.config;
    const before = this.section;
    this.section = section;
    this.isMarkedAccepted = false;
    if (before?.config.view.epoch !== view.epoch) {
      budgets.setView(view);
      claims.setView(view);
    }
    if (before === undefined || !hasSameLimits(before, section)) {
      budgets.setLimits((team) => section.lists.planOf(team));
    }
    this.markAccepted();
  }

  /** Reports the view and the limits in force as accepted once the revision that contains them is accepted. */
  private markAccepted(): void {
    const { section } = this;
    const { blackboard, budgets, claims, clock } = this.options;
    if (section === undefined || this.isMarkedAccepted) return;
    if (blackboard.freshness.value.acceptedRevision < section.config.revision) return;
    this.isMarkedAccepted = true;
    const now = clock.now();
    budgets.markViewAccepted(section.config.view.epoch, now);
    budgets.markLimitsAccepted(now);
    claims.markViewAccepted(section.config.view.epoch, now);
  }
}
