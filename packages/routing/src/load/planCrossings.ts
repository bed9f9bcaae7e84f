/** Which part of the demand of each data centre goes to which other one, without regard to what went there before. */
import type { DataCentreLoad } from './DataCentreLoad.js';
import { WAIT_COST } from '../TargetSelector.js';
import { durationMsOf, loadCost, utilisation } from './loadCost.js';

/** What a request meets on its way to another data centre. */
export interface CrossingPath {
  readonly oneWayMs: number;
  /** Share of the attempts that fail on this way and would not have failed in the own data centre. */
  readonly failedShare: number;
}

/** A way between two data centres for the requests of a service. */
export interface CrossingRules {
  readonly pathOf: (from: string, to: string) => CrossingPath;
  readonly isAllowed: (from: string, to: string) => boolean;
  /** What a request must gain by leaving, in units of the value of an answer. */
  readonly priceOf: (from: string, to: string) => number;
  /** Requests leave a data centre only while more of its room is used. */
  readonly leavingUtilisationOf: (from: string, to: string) => number;
}

/** Shares of the demand of a data centre by the data centres that they go to. */
export type ShareRow = ReadonlyMap<string, number>;

/** Own and received requests together use at most this share of the room of a data centre. */
export const MAX_UTILISATION = 0.9;

/** From a data centre whose entries are heard less, nothing is known. */
export const MIN_HEARD_SHARE = 0.5;

/** Part of the demand that is moved at once, and the number of such moves for each data centre. */
const STEP_SHARE = 0.02;
const MAX_STEPS = 50;

/** Less is not worth a step. */
const MIN_MOVE_PER_SECOND = 0.05;

/** An attempt that fails loses the answer if the request must not be repeated. */
const FAILURE_COST = 1;

interface Move {
  readonly from: DataCentreLoad;
  readonly to: DataCentreLoad;
  readonly perSecond: number;
  readonly gain: number;
}

function addTo(counts: Map<string, number>, key: string, change: number): void {
  counts.set(key, (counts.get(key) ?? 0) + change);
}

/** Moves small parts of the demand, each where a request gains most, until none gains more than the price. */
class Crossings {
  /** Requests a second by the data centre that serves them. */
  private readonly loads: Map<string, number>;

  private readonly flows = new Map<string, Map<string, number>>();

  private readonly receivers = new Set<string>();

  private readonly durationMs: number;

  public constructor(
    private readonly sites: readonly DataCentreLoad[],
    private readonly rules: CrossingRules,
  ) {
    this.loads = new Map(sites.map((site) => [site.dataCentre, site.demandPerSecond]));
    const rooms = sites.reduce((sum, { roomPerSecond }) => sum + roomPerSecond, 0);
    const slots = sites.reduce((sum, site) => sum + site.slots, 0);
    this.durationMs = durationMsOf({ roomPerSecond: rooms, slots });
  }

  public plan(): ReadonlyMap<string, ShareRow> {
    for (let step = 0; step < MAX_STEPS * this.sites.length; step += 1) {
      const move = this.bestMove();
      if (move === undefined) break;
      this.apply(move);
    }
    return new Map(
      this.sites.map(({ dataCentre, demandPerSecond }) => {
        const flows = [...(this.flows.get(dataCentre) ?? [])];
        return [dataCentre, new Map(flows.map(([to, flow]) => [to, flow / demandPerSecond]))];
      }),
    );
  }

  private bestMove(): Move | undefined {
    return this.sites
      .filter((site) => this.maySend(site))
      .flatMap((from) => this.sites.flatMap((to) => this.moveBetween(from, to) ?? []))
      .reduce<Move | undefined>(
        (best, move) => (best === undefined || move.gain > best.gain ? move : best),
        undefined,
      );
  }

  private maySend({ dataCentre, demandPerSecond, heardShare }: DataCentreLoad): boolean {
    const isSender = demandPerSecond > 0 && heardShare >= MIN_HEARD_SHARE;
    return isSender && !this.receivers.has(dataCentre);
  }

  private moveBetween(from: DataCentreLoad, to: DataCentreLoad): Move | undefined {
    const { rules, durationMs } = this;
    const [a, b] = [from.dataCentre, to.dataCentre];
    const isReceiver = to.heardShare >= MIN_HEARD_SHARE && !this.flows.has(b);
    if (a === b || !isReceiver || !rules.isAllowed(a, b)) return undefined;
    const here = this.loadOf(from);
    const there = this.loadOf(to);
    const free = MAX_UTILISATION * to.roomPerSecond - there;
    const perSecond = Math.min(STEP_SHARE * from.demandPerSecond, free, here);
    if (perSecond <= MIN_MOVE_PER_SECOND) return undefined;
    if (utilisation(here, from) <= rules.leavingUtilisationOf(a, b)) return undefined;
    const { oneWayMs, failedShare } = rules.pathOf(a, b);
    const crossingCost =
      rules.priceOf(a, b) + WAIT_COST * ((2 * oneWayMs) / durationMs) + FAILURE_COST * failedShare;
    const gain =
      loadCost(here, from, durationMs) - loadCost(there + perSecond, to, durationMs) - crossingCost;
    return gain > 0 ? { from, to, perSecond, gain } : undefined;
  }

  private apply({ from, to, perSecond }: Move): void {
    const row = this.flows.get(from.dataCentre) ?? new Map<string, number>();
    this.flows.set(from.dataCentre, row);
    addTo(row, to.dataCentre, perSecond);
    addTo(this.loads, from.dataCentre, -perSecond);
    addTo(this.loads, to.dataCentre, perSecond);
    this.receivers.add(to.dataCentre);
  }

  private loadOf({ dataCentre }: DataCentreLoad): number {
    return this.loads.get(dataCentre) ?? 0;
  }
}

/** Shares by data centre. A data centre that sends requests of the service receives none. */
export function planCrossings(
  sites: readonly DataCentreLoad[],
  rules: CrossingRules,
): ReadonlyMap<string, ShareRow> {
  return new Crossings(sites, rules).plan();
}
