/** State of an entry: updated from the messages of the hub, and read when requests are handled. */
import { Emitter } from '@marigoldbank/base/events';
import { Random } from '@marigoldbank/base/random';
import { EvacuatedDataCentres } from '@marigoldbank/routing/EvacuatedDataCentres';
import { PlacedSample } from '@marigoldbank/routing/choice/PlacedSample';
import { DurationEstimate } from '@marigoldbank/routing/DurationEstimate';
import { PlacementShares } from '@marigoldbank/routing/load/PlacementShares';
import { isNewerVersion, type Route } from '@marigoldbank/routing/plan';
import { PoisonTable } from '@marigoldbank/routing/PoisonTable';
import {
  applyPlanChanges,
  fromPlanItems,
  type PlanChange,
  type PlanItems,
} from '@marigoldbank/routing/plan-items';
import { EntryCount } from '@marigoldbank/routing/EntryCount';
import { RetryLimiter } from '@marigoldbank/routing/RetryLimiter';
import type { RetryBudgetLimits } from '@marigoldbank/routing/RetryWindow';
import { RouteTable } from '@marigoldbank/routing/RouteTable';
import { ServedShares } from '@marigoldbank/routing/ServedShares';
import type { ColdBounds } from '@marigoldbank/routing/sharedRate';
import type { TeamTolerance } from '@marigoldbank/routing/teamTolerance';
import { TargetFloor } from '@marigoldbank/routing/TargetFloor';
import { TargetLimits } from '@marigoldbank/routing/TargetLimits';
import { TargetTable, type TargetState } from '@marigoldbank/routing/TargetTable';
import { TargetNotices } from '@marigoldbank/routing/TargetNotices';
import { TargetSelector, type ITargetFilter } from '@marigoldbank/routing/TargetSelector';
import { TeamRateLimiter } from '@marigoldbank/routing/TeamRateLimiter';
import { AddressBook } from '../AddressBook.js';
import type { RankedAdmission } from './RankedAdmission.js';
import type { EntryCapacity } from './EntryCapacity.js';
import type { ServiceBytes } from './ServiceBytes.js';
import { ShutdownSchedule } from './ShutdownSchedule.js';

/** Time without contact to the budget holder after which an entry limits teams to a part of its even share. */
const BUDGET_HOLDER_TIMEOUT_MS = 1_500;

/** Time without a status after which the hub counts as lost. A hub sends one every 400 ms. */
const HUB_TIMEOUT_MS = 1_500;

const MAX_SEED = 0x7fffffff;

/** Lookup tables of a plan that may be in force. */
interface PossibleTable {
  readonly version: number;
  /** Monotonic ms. */
  readonly at: number;
  readonly table: RouteTable | undefined;
}

/** Status of the hub. Ages are those at `trueAt`; the time since then is added when they are read. */
interface HubStatus {
  /** Time since a majority of the voters confirmed the plan, as known to the hub. */
  readonly confirmedAgeMs: number;
  /** Time since the hub last heard from the budget holder. */
  readonly budgetAgeMs: number;
  /** Number that stands for the budget holder and changes with it; 0 or undefined if unknown. */
  readonly budgetHolder?: number;
  /** Number of entries in the fleet. */
  readonly entries: number;
  /** Whether the hub reaches a majority of the voters, but no leader. */
  readonly isLeaderless: boolean;
  /** Whether the hub does not reach a majority of the voters. */
  readonly isCutOff: boolean;
  /** Whether the hub has just started and does not know all targets yet. */
  readonly isStarting: boolean;
  /** Version of the plan that was confirmed, undefined if there is none. */
  readonly planVersion: number | undefined;
  /** Monotonic ms. Much earlier than the arrival of the status if messages wait at the hub or on the way. */
  readonly trueAt: number;
}

/** Smaller differences between the two clocks are corrections of the time of day. */
const MIN_SUSPENSION_MS = 500;

export interface EntryStateOptions {
  readonly coldBounds?: ColdBounds | undefined;
  /** Price of a request to another data centre. Without one, shares of placement are not used. */
  readonly crossingPrice?: number | undefined;
  /** What teams may get beyond their rates without a budget holder; undefined for nothing. */
  readonly teamTolerance?: (() => TeamTolerance | undefined) | undefined;
  /** Share of the targets of a service to keep in use while requests are not served; undefined for none. */
  readonly floorShare?: number | undefined;
}

export class EntryState {
  public readonly targets = new TargetTable();

  public readonly selector: TargetSelector;

  public readonly teamLimiter: TeamRateLimiter;

  public readonly addresses = new AddressBook();

  public readonly retryLimiter: RetryLimiter;

  public readonly shutdown = new ShutdownSchedule();

  public readonly limits: TargetLimits;

  public readonly notices = new TargetNotices();

  public readonly evacuations = new EvacuatedDataCentres();

  public readonly suspects = new PoisonTable();

  public readonly servedShares = new ServedShares();

  /** Targets that may get requests: not leaving, not pausing, and outside of evacuated data centres. */
  public readonly targetFilter: ITargetFilter = {
    isUsable: (info, now) =>
      !this.evacuations.isEvacuated(info.dataCentre, now) && this.notices.isUsable(info, now),
  };

  /** Admission by rank, undefined if the settings do not enable it. */
  public rankedAdmission: RankedAdmission | undefined;

  /** Shares of the requests that go to other data centres. */
  public readonly placements = new PlacementShares();

  /** Bytes by service, undefined while traffic between data centres has no price. */
  public serviceBytes: ServiceBytes | undefined;

  /** Waiting for slots and times to come back, undefined if the settings do not call for them. */
  public capacity: EntryCapacity | undefined;

  private readonly floor: TargetFloor;

  private readonly planEmitter = new Emitter<RouteTable>();

  /** Fires when a plan has taken effect, also if its version is the previous one. */
  public readonly onDidChangePlan = this.planEmitter.event;

  private routeTable: RouteTable | undefined;

  private planItems: PlanItems = new Map();

  private status: HubStatus | undefined;

  /** Time of day less monotonic time when the status arrived. */
  private clockOffsetMs = 0;

  /** Monotonic ms at which the plan in effect was known to be the newest one, and the clock offset when that was learnt. */
  private planCurrent = { at: -Infinity, clockOffsetMs: 0 };

  /** A plan that may have been acknowledged, and when that was learnt. Without `table` nothing else is known of it. */
  private possible: PossibleTable | undefined;

  private readonly entries = new EntryCount();

  private readonly durations = new Map<string, DurationEstimate>();

  public constructor(
    bounds: RetryBudgetLimits,
    public readonly random = new Random(Math.floor(Math.random() * MAX_SEED)),
    private readonly timeOfDay: () => number = Date.now,
    { coldBounds, crossingPrice, teamTolerance, floorShare }: EntryStateOptions = {},
  ) {
    this.limits = new TargetLimits(random, () => this.entryCount, {
      bounds: coldBounds,
      entryCount: (now) => this.entries.cautious(now),
    });
    this.targets.onDidRemove((id) => this.limits.remove(id));
    // The targets of a data centre that is taken back may have become cold shortly before.
    this.evacuations.onDidEnd(({ dataCentre, at }) => this.limits.treatAsCold(dataCentre, at));
    this.selector = new TargetSelector(
      this.targets,
      random,
      this.limits,
      crossingPrice === undefined ? undefined : new PlacedSample(random, this.placements),
      this.targetFilter,
      crossingPrice,
    );
    this.floor = new TargetFloor(random, floorShare);
    this.retryLimiter = new RetryLimiter(bounds);
    this.teamLimiter = new TeamRateLimiter(random, teamTolerance);
  }

  /** Lookup tables of the plan in effect, undefined before the first one. */
  public get currentRouteTable(): RouteTable | undefined {
    return this.routeTable;
  }

  /** Version of the plan in effect, undefined before the first one. */
  public get planVersion(): number | undefined {
    return this.routeTable?.plan.version;
  }

  /** Largest number of entries in the fleet according to the statuses of the last 20 s, at least 1. */
  public get entryCount(): number {
    return this.entries.largest;
  }

  /** Applies changes to the plan `fromVersion`, or a complete plan if that is undefined. Never returns to an older version. */
  public applyPlan(
    fromVersion: number | undefined,
    version: number,
    changes: readonly PlanChange[],
  ): void {
    const { planVersion } = this;
    if (fromVersion !== undefined && fromVersion !== planVersion) {
      throw new Error(`plan ${version} builds on ${fromVersion}, not on ${planVersion}`);
    }
    if (planVersion !== undefined && version < planVersion) return;
    const base = fromVersion === undefined ? new Map<string, string>() : this.planItems;
    this.planItems = applyPlanChanges(base, changes);
    this.routeTable = new RouteTable(fromPlanItems(version, this.planItems));
    this.limits.setServices(this.routeTable.plan.services);
    this.takeConfirmation();
    this.planEmitter.fire(this.routeTable);
  }

  /** Sets the status that arrived at `now` (monotonic ms). */
  public setStatus(status: HubStatus, now: number): void {
    this.status = status;
    this.clockOffsetMs = this.timeOfDay() - now;
    this.takeConfirmation();
    const { entries, trueAt, isStarting, isCutOff } = status;
    this.entries.note(entries, trueAt, !isStarting && !isCutOff);
  }

  /** Notes that at a time (monotonic ms) no plan was committed that is newer than the one in effect. */
  public confirmPlan(at: number, now: number): void {
    if (at > this.planCurrent.at) this.planCurrent = { at, clockOffsetMs: this.timeOfDay() - now };
  }

  /**
   * Notes that a newer plan than the one in effect may have been acknowledged by a time (monotonic ms), with its changes from
   * the plan `fromVersion` if they are known.
   */
  public notePossiblePlan(
    version: number,
    at: number,
    update?: {
      readonly fromVersion: number | undefined;
      readonly changes: readonly PlanChange[];
    },
  ): void {
    const known = this.possible?.version === version ? this.possible.table : undefined;
    this.possible = { version, at: Math.max(at, this.possible?.at ?? -Infinity), table: known };
    if (known !== undefined || update === undefined) return;
    const { fromVersion, changes } = update;
    if (fromVersion !== undefined && fromVersion !== this.planVersion) return;
    const base = fromVersion === undefined ? new Map<string, string>() : this.planItems;
    const items = applyPlanChanges(base, changes);
    this.possible = { ...this.possible, table: new RouteTable(fromPlanItems(version, items)) };
  }

  /** The plan that may be in force instead of the one in effect, undefined if that is known to be the newest one. */
  public get possiblePlan(): PossibleTable | undefined {
    if (this.possible === undefined) return undefined;
    const { version, at } = this.possible;
    const isNewer = isNewerVersion(version, this.planVersion);
    return isNewer && at > this.planCurrent.at ? this.possible : undefined;
  }

  /** Whether a plan that may be in force could handle a request in another way than the one in effect. */
  public mayHandleOtherwise(host: string, path: string, key: string | undefined): boolean {
    const { possiblePlan, routeTable } = this;
    if (possiblePlan === undefined || routeTable === undefined) return false;
    const { table } = possiblePlan;
    return table === undefined || !routeTable.handlesAlike(table, host, path, key);
  }

  /**
   * Milliseconds since the plan in effect was known to be the newest one, from the hub or from another control VM. Infinity
   * if that is not known.
   */
  public planAgeMs(now: number): number {
    const { at, clockOffsetMs } = this.planCurrent;
    return now - at + this.suspendedMs(now, clockOffsetMs);
  }

  /** Milliseconds since a majority of the voters confirmed the state of the hub. Infinity without a status. */
  public confirmedAgeMs(now: number): number {
    if (this.status === undefined) return Infinity;
    return this.status.confirmedAgeMs + now - this.status.trueAt + this.suspendedMs(now);
  }

  /**
   * Time for which this VM was suspended since the last status. The monotonic clock stands still meanwhile, so that what the
   * status permits would seem to be in force after it has run out. A step of the time of day looks the same, until the
   * next status.
   */
  private suspendedMs(now: number, clockOffsetMs = this.clockOffsetMs): number {
    const suspendedMs = this.timeOfDay() - now - clockOffsetMs;
    return suspendedMs < MIN_SUSPENSION_MS ? 0 : suspendedMs;
  }

  /** Whether the plan in effect is at least as new as the confirmed one. A status may arrive before its plan. */
  public get hasConfirmedPlan(): boolean {
    if (this.status === undefined) return false;
    const { planVersion } = this.status;
    return planVersion === undefined || !isNewerVersion(planVersion, this.planVersion);
  }

  /** Version of the plan that was confirmed, according to the last status; undefined without one. */
  public get confirmedPlanVersion(): number | undefined {
    return this.status?.planVersion;
  }

  /** Takes the confirmation of the last status, if the plan that it is about has arrived. */
  private takeConfirmation(): void {
    if (this.status === undefined || !this.hasConfirmedPlan) return;
    const { trueAt, confirmedAgeMs } = this.status;
    const at = trueAt - confirmedAgeMs;
    if (at <= this.planCurrent.at) return;
    this.planCurrent = { at, clockOffsetMs: this.clockOffsetMs };
  }

  /** Whether the hub reached a majority of the voters but no leader, according to its last status. */
  public get isLeaderless(): boolean {
    return this.status?.isLeaderless ?? false;
  }

  /** Whether the hub did not reach a majority of the voters, according to its last status. */
  public get isCutOff(): boolean {
    return this.status?.isCutOff ?? false;
  }

  /** Whether the hub had just started, according to its last status. */
  public get isHubStarting(): boolean {
    return this.status?.isStarting ?? false;
  }

  /** Whether the entry follows a hub, which counts the retries of the fleet. */
  public isFollowingHub(now: number): boolean {
    return (
      this.status !== undefined && now - this.status.trueAt + this.suspendedMs(now) < HUB_TIMEOUT_MS
    );
  }

  /** An unused target of a service that gets the next request, so that enough are in use; undefined for the usual choice. */
  public pickUnused(service: string, dataCentre: string, now: number): TargetState | undefined {
    const requests = {
      unservedShare: this.servedShares.unservedShare(service, now),
      refusedShare: this.servedShares.refusedShare(service, now),
      perSecond: this.servedShares.perSecond(service, now) * this.entryCount,
      dataCentre,
    };
    const usable = (): TargetState[] =>
      this.targets.candidates(service).filter(({ info }) => this.targetFilter.isUsable(info, now));
    return this.floor.pick(usable, requests, now);
  }

  /** Number of the budget holder according to the last status, 0 if unknown. */
  public get budgetHolder(): number {
    return this.status?.budgetHolder ?? 0;
  }

  /** Whether the hub has had contact to the holder of the team budgets recently. */
  public hasBudgetHolder(now: number): boolean {
    return this.budgetHolderAgeMs(now) < BUDGET_HOLDER_TIMEOUT_MS;
  }

  /** Milliseconds since the hub last had contact to the holder of the team budgets, Infinity if it is not known to have had. */
  public budgetHolderAgeMs(now: number): number {
    if (this.status === undefined) return Infinity;
    const { budgetAgeMs, trueAt } = this.status;
    return budgetAgeMs + now - trueAt + this.suspendedMs(now);
  }

  /** The duration estimate of a route, which is created on first use. */
  public durationEstimateOf(route: Route): DurationEstimate {
    const key = `${route.host}${route.prefix}`;
    const known = this.durations.get(key);
    if (known !== undefined) return known;
    const created = new DurationEstimate(route.objectiveMs);
    this.durations.set(key, created);
    return created;
  }
}
