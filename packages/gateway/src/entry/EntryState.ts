/** Blackboard of an entry: what the hub says, read by the HTTP path. */
import { Emitter } from '@marigoldbank/base/events';
import { Random } from '@marigoldbank/base/random';
import { DurationEstimate } from '@marigoldbank/routing/DurationEstimate';
import type { Route } from '@marigoldbank/routing/plan';
import {
  applyPlanChanges,
  fromPlanItems,
  type PlanChange,
  type PlanItems,
} from '@marigoldbank/routing/plan-items';
import { RetryLimiter } from '@marigoldbank/routing/RetryLimiter';
import type { RetryBudgetLimits } from '@marigoldbank/routing/RetryWindow';
import { RouteTable } from '@marigoldbank/routing/RouteTable';
import { TargetTable } from '@marigoldbank/routing/TargetTable';
import { TargetSelector } from '@marigoldbank/routing/TargetSelector';
import { TeamRateLimiter } from '@marigoldbank/routing/TeamRateLimiter';
import { AddressBook } from '../AddressBook.js';

/** Without news of the holder of the team budgets for this long, an entry keeps to its even share. */
const HOLDER_SILENCE_MS = 1_500;

/** A hub says something every 400 ms. */
const HUB_SILENCE_MS = 1_500;

const MAX_SEED = 0x7fffffff;

/** Ages are as received; the time since then is added when they are read. */
interface HubStatus {
  readonly confirmedAgeMs: number;
  readonly budgetAgeMs: number;
  readonly entries: number;
  /** Whether the hub hears a majority of the voters, but no leader. */
  readonly isLeaderless: boolean;
  /** Version of the plan that the confirmation is about. */
  readonly planVersion: number;
  readonly receivedAt: number;
}

export class EntryBoard {
  public readonly targets = new TargetTable();

  public readonly random = new Random(Math.floor(Math.random() * MAX_SEED));

  public readonly selector = new TargetSelector(this.targets, this.random);

  public readonly teams = new TeamRateLimiter();

  public readonly addresses = new AddressBook();

  public readonly retries: RetryLimiter;

  private readonly planEmitter = new Emitter<RouteTable>();

  /** A newer plan is in force here. */
  public readonly onDidChangePlan = this.planEmitter.event;

  private routeTable: RouteTable | undefined;

  private items: PlanItems = new Map();

  private status: HubStatus | undefined;

  private readonly durations = new Map<string, DurationEstimate>();

  public constructor(bounds: RetryBudgetLimits) {
    this.retries = new RetryLimiter(bounds);
  }

  /** The plan in force, undefined before the first one. */
  public get table(): RouteTable | undefined {
    return this.routeTable;
  }

  public get version(): number {
    return this.routeTable?.plan.version ?? 0;
  }

  /** Entries of the fleet as last heard, at least this one. */
  public get entries(): number {
    return Math.max(1, this.status?.entries ?? 1);
  }

  /** Adopts a plan unless a newer one is in force: plans never go back. */
  public adoptPlan(fromVersion: number, version: number, changes: readonly PlanChange[]): void {
    const base = fromVersion === 0 ? new Map<string, string>() : this.items;
    if (fromVersion !== 0 && fromVersion !== this.version) {
      throw new Error(`plan ${version} builds on ${fromVersion}, not on ${this.version}`);
    }
    if (version < this.version) return;
    this.items = applyPlanChanges(base, changes);
    this.routeTable = new RouteTable(fromPlanItems(version, this.items));
    this.planEmitter.fire(this.routeTable);
  }

  public setStatus(status: HubStatus): void {
    this.status = status;
  }

  /** Milliseconds since a majority of the voters confirmed the plan in force. */
  public confirmedAgeMs(now: number): number {
    if (this.status === undefined) return Infinity;
    return this.status.confirmedAgeMs + now - this.status.receivedAt;
  }

  /** Whether the plan in force here is the one that was confirmed: the status of a hub may come before its plan. */
  public get holdsConfirmedPlan(): boolean {
    return this.status !== undefined && this.version >= this.status.planVersion;
  }

  /** Whether the hub that is followed knew of no leader when it last said so. */
  public get isLeaderless(): boolean {
    return this.status?.isLeaderless ?? false;
  }

  /** Whether a hub is followed that counts the repeats of the fleet. */
  public isFollowing(now: number): boolean {
    return this.status !== undefined && now - this.status.receivedAt < HUB_SILENCE_MS;
  }

  /** Whether the holder of the team budgets is in reach. */
  public hasBudgetHolder(now: number): boolean {
    if (this.status === undefined) return false;
    return this.status.budgetAgeMs + now - this.status.receivedAt < HOLDER_SILENCE_MS;
  }

  /** Expected duration of a route's requests. */
  public durationOf(route: Route): DurationEstimate {
    const key = `${route.host}${route.prefix}`;
    const known = this.durations.get(key);
    if (known !== undefined) return known;
    const created = new DurationEstimate(route.objectiveMs);
    this.durations.set(key, created);
    return created;
  }
}
