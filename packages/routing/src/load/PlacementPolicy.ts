/**
 * Decides which share of the demand of each data centre goes to which other one, for each service. Demand is counted where
 * callers ask, so the shares do not change what they are computed from.
 */
import type { DataCentreLoad } from './DataCentreLoad.js';
import { utilisation } from './loadCost.js';
import {
  MAX_UTILISATION,
  MIN_HEARD_SHARE,
  planCrossings,
  type CrossingPath,
  type ShareRow,
} from './planCrossings.js';

/** Demand, room and paths of one service. */
export interface PlacementInput {
  readonly service: string;
  readonly dataCentres: readonly DataCentreLoad[];
  readonly pathOf: (from: string, to: string) => CrossingPath;
  /** Price of a request of this service. If omitted, that of an average request. */
  readonly price?: number;
}

/** Shares in force by the data centre that requests leave. */
export type PlacementTable = ReadonlyMap<string, ShareRow>;

/**
 * Requests start to leave a data centre above the first share of its room and stop below the second. Below, it counts as having
 * room for its own demand, which varies by chance and by a second or two before it is known.
 */
const START_UTILISATION = 0.85;
const STOP_UTILISATION = 0.75;

/**
 * Added to the price of a way that is not in use, and taken from that of one that is. At 0.8 of the room, chance in the counts of
 * demand varies the cost of a wait by about 0.04.
 */
const PRICE_MARGIN = 0.03;

/** Smaller changes of a share are not made. With 600 requests/s, counts of 1.5 s vary the shares by 0.03. */
const MIN_CHANGE = 0.05;

/** A way on which more attempts fail is decided on anew at once. */
const MAX_FAILED_SHARE = 0.05;

/** Shares that are kept are lowered only above this share of the room, since a receiver's demand varies by chance as well. */
const MAX_KEPT_UTILISATION = 0.95;

/** A new share is at most this, and at most doubles with each decision, so that a broken way costs few requests. */
const FIRST_SHARE = 0.1;
const GROWTH = 2;

/** Smaller shares are not worth their messages. */
const MIN_SHARE = 0.01;

/**
 * Time from the end of a way until the opposite one may be used. Hubs decide separately and entries hear of changes later, and
 * two data centres must not send requests to each other meanwhile.
 */
const REVERSAL_MS = 2_000;

const NO_SHARES: ShareRow = new Map();

function keyOf(service: string, from: string, to: string): string {
  return `${service}\n${from}\n${to}`;
}

function sumOf(row: ShareRow): number {
  return [...row.values()].reduce((sum, share) => sum + share, 0);
}

export class PlacementPolicy {
  private readonly tables = new Map<string, PlacementTable>();

  /** Data centres for which the last decision found lower shares sufficient, by service. */
  private readonly low = new Set<string>();

  /** Monotonic ms at which a way was last in use. */
  private readonly usedAt = new Map<string, number>();

  /** `crossingPrice` is in units of the value of an average answer. */
  public constructor(private readonly crossingPrice: number) {}

  public sharesOf(service: string, from: string): ShareRow {
    return this.tables.get(service)?.get(from) ?? NO_SHARES;
  }

  /** Decides anew and returns the shares in force from now on. Call every 500 ms. */
  public decide(input: PlacementInput, now: number): PlacementTable {
    const { service, dataCentres } = input;
    const ideal = this.plan(input, now);
    const steadied = new Map(
      dataCentres.map((site) => [site.dataCentre, this.steady(input, site, ideal)]),
    );
    const table = PlacementPolicy.limitReceived(dataCentres, steadied);
    this.tables.set(service, table);
    table.forEach((row, from) =>
      row.forEach((_, to) => this.usedAt.set(keyOf(service, from, to), now)),
    );
    return table;
  }

  /** Forgets a service that has neither demand nor room any more. */
  public remove(service: string): void {
    this.tables.delete(service);
    const isOfService = (key: string): boolean => key.startsWith(`${service}\n`);
    [...this.usedAt.keys()].filter(isOfService).forEach((key) => this.usedAt.delete(key));
    [...this.low].filter(isOfService).forEach((key) => this.low.delete(key));
  }

  private plan(input: PlacementInput, now: number): PlacementTable {
    const { service, dataCentres, pathOf, price = this.crossingPrice } = input;
    const isUsed = (from: string, to: string): boolean => this.sharesOf(service, from).has(to);
    return planCrossings(dataCentres, {
      pathOf,
      isAllowed: (from, to) =>
        now - (this.usedAt.get(keyOf(service, to, from)) ?? -Infinity) >= REVERSAL_MS,
      priceOf: (from, to) => Math.max(0, price + (isUsed(from, to) ? -PRICE_MARGIN : PRICE_MARGIN)),
      leavingUtilisationOf: (from, to) => (isUsed(from, to) ? STOP_UTILISATION : START_UTILISATION),
    });
  }

  /** Leaves the shares of a data centre as they are for small changes of their sum, and lets them grow step by step. */
  private steady(input: PlacementInput, site: DataCentreLoad, ideal: PlacementTable): ShareRow {
    const before = this.sharesOf(input.service, site.dataCentre);
    const row = ideal.get(site.dataCentre) ?? NO_SHARES;
    const isSender = (dataCentre: string): boolean => (ideal.get(dataCentre)?.size ?? 0) > 0;
    if (PlacementPolicy.maySend(input, site, before) && ![...before.keys()].some(isSender)) {
      const change = sumOf(row) - sumOf(before);
      const kept = site.demandPerSecond * (1 - sumOf(before));
      const minIncrease = utilisation(kept, site) > MAX_UTILISATION ? 0 : MIN_CHANGE;
      const isLow = change <= -MIN_CHANGE;
      // One count that is low by chance would end a way that is needed.
      if (!isLow) this.low.delete(keyOf(input.service, site.dataCentre, ''));
      if (isLow ? this.noteLow(input.service, site) : change < minIncrease) return before;
    }
    this.low.delete(keyOf(input.service, site.dataCentre, ''));
    return new Map(
      [...row].map(([to, share]) => [
        to,
        Math.min(share, Math.max(FIRST_SHARE, GROWTH * (before.get(to) ?? 0))),
      ]),
    );
  }

  /** Notes that lower shares would do. Returns whether that is new. */
  private noteLow(service: string, { dataCentre }: DataCentreLoad): boolean {
    const key = keyOf(service, dataCentre, '');
    const isNew = !this.low.has(key);
    this.low.add(key);
    return isNew;
  }

  /** Whether shares that are in force may stay so: they are needed, and no way has failed since. */
  private static maySend(
    { dataCentres, pathOf }: PlacementInput,
    site: DataCentreLoad,
    row: ShareRow,
  ): boolean {
    const isOpen = (to: string): boolean =>
      pathOf(site.dataCentre, to).failedShare < MAX_FAILED_SHARE &&
      dataCentres.some(
        ({ dataCentre, heardShare }) => dataCentre === to && heardShare >= MIN_HEARD_SHARE,
      );
    return (
      row.size > 0 &&
      utilisation(site.demandPerSecond, site) > STOP_UTILISATION &&
      [...row.keys()].every(isOpen)
    );
  }

  /** Lowers shares that were kept, so that no data centre receives more than it has room for. */
  private static limitReceived(
    dataCentres: readonly DataCentreLoad[],
    table: PlacementTable,
  ): PlacementTable {
    const factors = new Map(
      dataCentres.map(({ dataCentre: to, demandPerSecond, roomPerSecond }) => {
        const received = dataCentres.reduce(
          (sum, from) => sum + from.demandPerSecond * (table.get(from.dataCentre)?.get(to) ?? 0),
          0,
        );
        const free = Math.max(0, MAX_UTILISATION * roomPerSecond - demandPerSecond);
        const isFull = received + demandPerSecond > MAX_KEPT_UTILISATION * roomPerSecond;
        return [to, isFull ? Math.min(1, free / received) : 1];
      }),
    );
    return new Map(
      [...table].map(([from, row]) => {
        const total = sumOf(row);
        const limited = [...row].map(([to, share]): [string, number] => [
          to,
          (share * (factors.get(to) ?? 0)) / Math.max(1, total),
        ]);
        return [from, new Map(limited.filter(([, share]) => share >= MIN_SHARE))];
      }),
    );
  }
}
