/** Demand and room of one service in one data centre, as placement decides by it. */
import type { SiteRoom } from './loadCost.js';
import type { IServiceLoad } from './types.js';

export interface DataCentreLoad extends SiteRoom {
  readonly dataCentre: string;
  readonly demandPerSecond: number;
  /** Share of the entries of the data centre whose demand is known here. */
  readonly heardShare: number;
}

/**
 * The data centres that have demand or room. Demand is scaled up by the share of the entries that are heard: otherwise
 * a data centre would seem to be free while its entries follow hubs that are not heard.
 */
export function dataCentreLoads(
  load: IServiceLoad,
  service: string,
  heardShareOf: (dataCentre: string) => number,
  now: number,
): readonly DataCentreLoad[] {
  const demand = new Map<string, number>();
  load
    .demandOf(service, now)
    .forEach(({ dataCentre, perSecond }) =>
      demand.set(dataCentre, (demand.get(dataCentre) ?? 0) + perSecond),
    );
  const rooms = new Map(load.roomOf(service, now).map((room) => [room.dataCentre, room]));
  return [...new Set([...demand.keys(), ...rooms.keys()])].sort().map((dataCentre) => {
    const heardShare = heardShareOf(dataCentre);
    const known = demand.get(dataCentre) ?? 0;
    return {
      dataCentre,
      demandPerSecond: heardShare > 0 ? known / heardShare : known,
      roomPerSecond: rooms.get(dataCentre)?.perSecond ?? 0,
      slots: rooms.get(dataCentre)?.slots ?? 0,
      heardShare,
    };
  });
}
