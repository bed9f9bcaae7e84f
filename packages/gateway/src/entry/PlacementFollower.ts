/** Takes over the shares of requests to other data centres that the hub decides on. */
import type { HubUpdate } from '@marigoldbank/protocol/gen/marigoldbank/v1/sync_pb';
import type { DestinationShare, PlacementShares } from '@marigoldbank/routing/load/PlacementShares';
import { placementShare } from '../metrics.js';
import { EntryExtension } from './EntryExtension.js';

const PERMILLE = 1_000;

export class PlacementFollower extends EntryExtension {
  public constructor(
    private readonly shares: PlacementShares,
    /** Data centre of this entry. */
    private readonly dataCentre: string,
  ) {
    super();
  }

  /** A hub that has not decided yet names no services; their shares stay as they are. */
  public override apply({ placements }: Pick<HubUpdate, 'placements'>): void {
    const byService = new Map<string, DestinationShare[]>();
    placements.forEach(({ service, dataCentre, permille }) =>
      byService.set(service, [
        ...(byService.get(service) ?? []),
        { dataCentre, share: permille / PERMILLE },
      ]),
    );
    const from = this.dataCentre;
    byService.forEach((next, service) => {
      this.shares
        .sharesOf(service)
        ?.forEach(({ dataCentre: to }) => placementShare.set({ service, from, to }, 0));
      this.shares.set(service, next);
      this.shares
        .sharesOf(service)
        ?.forEach(({ dataCentre: to, share }) => placementShare.set({ service, from, to }, share));
    });
  }
}
