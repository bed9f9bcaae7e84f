/** Which entries coordinate a service. */
import { rankAcrossDataCentres } from '@marigoldbank/base/rendezvous';
import type { EntryRecord, FleetView } from '@marigoldbank/fleet/config';

/** Coordinators a service; with three data centres at least one is in each. */
export const COORDINATORS_PER_SERVICE = 5;

/** Ranks coordinators of services, once per view. */
export class CoordinatorRanking {
  private view: FleetView | undefined;

  private readonly ranked = new Map<string, readonly EntryRecord[]>();

  /** The coordinators of a service, first choice first. */
  public coordinatorsOf(service: string, view: FleetView): readonly EntryRecord[] {
    if (this.view !== view) {
      this.view = view;
      this.ranked.clear();
    }
    const known = this.ranked.get(service);
    if (known !== undefined) return known;
    const key = `service:${service}`;
    const first = rankAcrossDataCentres(key, view.entries).slice(0, COORDINATORS_PER_SERVICE);
    this.ranked.set(service, first);
    return first;
  }
}
