/** Demand and room of all services as known to a hub, added up from the counts of all hubs. */
import { DecayedMean } from './DecayedMean.js';
import { DecayedRate } from './DecayedRate.js';
import { ServiceRoom, type LoadedTarget, type PaceOfTarget, type UsedRoom } from './ServiceRoom.js';
import type { DemandRate, DemandSample, IServiceLoad, Room } from './types.js';

/** A burst of seconds must show within a second. */
const DEMAND_MEMORY_MS = 1_000;

/** As long as the averages of the slots in use. */
const HEARD_MEMORY_MS = 2_000;

/** Share of the refused requests whose callers return. The others have no time left. */
const RETURNING_SHARE = 0.8;

/** Demand below this rate is forgotten. */
const MIN_PER_SECOND = 0.001;

const PRUNE_INTERVAL_MS = 5_000;

const EVEN_PACE: PaceOfTarget = { pace: 1, room: 1 };

interface Cell extends Pick<DemandSample, 'dataCentre' | 'rank' | 'team'> {
  readonly offered: DecayedRate;
  readonly refused: DecayedRate;
}

/** Requests of a service that are not counted by rank and team. */
interface Totals {
  readonly offered: DecayedRate;
  readonly refused: DecayedRate;
  readonly unplaced: DecayedRate;
}

/** What arrives at a service and takes slots, with the callers that return. */
export interface OfferedRate {
  readonly rank: number;
  readonly team: string;
  /** Requests a second that the rate limit of the team leaves. */
  readonly perSecond: number;
  /** Requests a second before the rate limit of the team. */
  readonly arriving: number;
  /** As `perSecond`, without the callers that return after a refusal. */
  readonly fresh: number;
}

type Mutable<T> = { -readonly [K in keyof T]: T[K] };

export class ServiceLoadTable implements IServiceLoad {
  private readonly cells = new Map<string, Map<string, Cell>>();

  private readonly totals = new Map<string, Totals>();

  private readonly rooms = new Map<string, ServiceRoom>();

  private readonly teams = new Map<string, DecayedRate>();

  /** Rate limits of teams, in requests a second. */
  private limits: ReadonlyMap<string, number> = new Map();

  private targets = new Map<string, LoadedTarget[]>();

  /** Share of the entries that were heard. The demand of those that are lost fades, and so must their part of the room. */
  private readonly heard = new DecayedMean(HEARD_MEMORY_MS);

  private sampledAt: number;

  private prunedAt = -Infinity;

  public constructor(
    private readonly startedAt: number,
    private readonly paceOf: (target: string) => PaceOfTarget = () => EVEN_PACE,
  ) {
    this.sampledAt = startedAt;
  }

  public get services(): readonly string[] {
    return [...new Set([...this.cells.keys(), ...this.targets.keys()])];
  }

  /** Sets the rate limits of teams that have one. */
  public setTeamLimits(limits: ReadonlyMap<string, number>): void {
    this.limits = limits;
  }

  /** Sets the targets that accept requests. */
  public setTargets(targets: readonly LoadedTarget[]): void {
    this.targets = new Map();
    targets.forEach((target) => {
      const known = this.targets.get(target.service);
      if (known === undefined) this.targets.set(target.service, [target]);
      else known.push(target);
    });
  }

  public addDemand(sample: DemandSample, now: number): void {
    const { service, dataCentre, rank, team, offered, refused } = sample;
    const cells = this.cells.get(service) ?? new Map<string, Cell>();
    this.cells.set(service, cells);
    const key = `${rank} ${dataCentre} ${team}`;
    const cell = cells.get(key) ?? {
      dataCentre,
      rank,
      team,
      offered: this.newRate(),
      refused: this.newRate(),
    };
    cells.set(key, cell);
    cell.offered.add(offered, now);
    if (refused > 0) cell.refused.add(refused, now);
    const totals = this.totalsFor(service);
    totals.offered.add(offered, now);
    if (refused > 0) totals.refused.add(refused, now);
    if (!this.limits.has(team)) return;
    const total = this.teams.get(team) ?? this.newRate();
    this.teams.set(team, total);
    total.add(offered, now);
  }

  /** Counts requests that targets of a service have processed, whatever the result. */
  public addEnded(service: string, count: number, now: number): void {
    this.roomFor(service).addEnded(count, now);
  }

  /** Counts requests for which no target gave a slot, for other reasons than a lack of free ones. */
  public addUnplaced(service: string, count: number, now: number): void {
    this.totalsFor(service).unplaced.add(count, now);
  }

  /** Notes the requests in flight. `heardShare` is the share of the entries that the hub hears, directly or through others. */
  public sample(inFlightOf: (target: string) => number, heardShare: number, now: number): void {
    [...this.rooms.keys()]
      .filter((service) => !this.targets.has(service))
      .forEach((service) => this.rooms.delete(service));
    this.heard.add(heardShare, now - this.sampledAt);
    this.sampledAt = now;
    const heard = Math.max(heardShare, this.heard.value);
    this.targets.forEach((targets, service) =>
      this.roomFor(service).sample(targets, inFlightOf, this.paceOf, heard, now),
    );
    if (now - this.prunedAt >= PRUNE_INTERVAL_MS) this.prune(now);
  }

  public demandOf(service: string, now: number): readonly DemandRate[] {
    const placed = 1 - RETURNING_SHARE * this.unplacedShare(service, now);
    return this.cellsOf(service).map(({ dataCentre, rank, team, offered, refused }) => {
      const fresh = offered.perSecond(now) - RETURNING_SHARE * refused.perSecond(now);
      const perSecond = Math.max(0, fresh) * placed * this.limitedShare(team, now);
      return { service, dataCentre, rank, team, perSecond };
    });
  }

  /** What arrives at a service in all data centres and takes slots. */
  public offeredTo(service: string, now: number): readonly OfferedRate[] {
    const placed = 1 - this.unplacedShare(service, now);
    const sums = new Map<string, Mutable<OfferedRate>>();
    this.cellsOf(service).forEach(({ rank, team, offered, refused }) => {
      const key = `${rank} ${team}`;
      const sum = sums.get(key) ?? { rank, team, perSecond: 0, arriving: 0, fresh: 0 };
      sums.set(key, sum);
      const arriving = offered.perSecond(now) * placed;
      const returning = RETURNING_SHARE * refused.perSecond(now) * placed;
      const limited = this.limitedShare(team, now);
      sum.perSecond += arriving * limited;
      sum.arriving += arriving;
      sum.fresh += Math.max(0, arriving - returning) * limited;
    });
    return [...sums.values()];
  }

  public roomOf(service: string, _now: number): readonly Room[] {
    return this.rooms.get(service)?.rooms() ?? [];
  }

  /** Room of the targets that are in use: those that entries cannot reach have none. */
  public usedRoomOf(service: string): UsedRoom {
    return this.rooms.get(service)?.usedRoom() ?? { room: 0, busyShare: 0, queued: 0 };
  }

  /**
   * Share of the admitted requests that take no slot. Targets that reject or fail for other reasons than load make callers
   * return, which must not look like a lack of room.
   */
  private unplacedShare(service: string, now: number): number {
    const totals = this.totals.get(service);
    if (totals === undefined) return 0;
    const admitted = totals.offered.perSecond(now) - totals.refused.perSecond(now);
    const unplaced = totals.unplaced.perSecond(now);
    return unplaced <= 0 ? 0 : Math.min(1, unplaced / Math.max(admitted, unplaced));
  }

  /** Share of the requests of a team that its own rate limit leaves. */
  private limitedShare(team: string, now: number): number {
    const limit = this.limits.get(team);
    const total = this.teams.get(team)?.perSecond(now) ?? 0;
    return limit === undefined || total <= limit ? 1 : limit / total;
  }

  private prune(now: number): void {
    this.prunedAt = now;
    this.cells.forEach((cells, service) => {
      [...cells]
        .filter(([, { offered }]) => offered.perSecond(now) < MIN_PER_SECOND)
        .forEach(([key]) => cells.delete(key));
      if (cells.size > 0) return;
      this.cells.delete(service);
      this.totals.delete(service);
    });
  }

  private cellsOf(service: string): Cell[] {
    return [...(this.cells.get(service)?.values() ?? [])];
  }

  private totalsFor(service: string): Totals {
    const known = this.totals.get(service);
    if (known !== undefined) return known;
    const created = {
      offered: this.newRate(),
      refused: this.newRate(),
      unplaced: this.newRate(),
    };
    this.totals.set(service, created);
    return created;
  }

  private roomFor(service: string): ServiceRoom {
    const known = this.rooms.get(service);
    if (known !== undefined) return known;
    const created = new ServiceRoom(this.startedAt);
    this.rooms.set(service, created);
    return created;
  }

  private newRate(): DecayedRate {
    return new DecayedRate(DEMAND_MEMORY_MS, this.startedAt);
  }
}
