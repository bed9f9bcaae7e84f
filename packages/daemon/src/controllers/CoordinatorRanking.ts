/** Determines which entries coordinate a service. */
import { rankAcrossDataCentres } from '@marigoldbank/base/rendezvous';
import type { EntryRecord, FleetView } from '@marigoldbank/fleet/config';

/** Coordinators per service. With three data centres, each of them has at least one. */
export const COORDINATORS_PER_SERVICE = 5;

/** Ranks the coordinators of services and caches the result until the view changes. */
export class CoordinatorRanking {
  private view: FleetView | undefined;

  private readonly cache = new Map<string, readonly EntryRecord[]>();

  /** Returns the coordinators of a service, the preferred one first. */
  public coordinatorsOf(service: string, view: FleetView): readonly EntryRecord[] {
    if (this.view !== view) {
      this.view = view;
      this.cache.clear();
    }
    const cached = this.cache.get(service);
    if (cached !== undefined) return cached;
    const key = `service:${service}`;
    const coordinators = rankAcrossDataCentres(key, view.entries).slice(
      0,
      COORDINATORS_PER_SERVICE,
    );
    this.cache.set(service, coordinators);
    return coordinators;
  }
}
