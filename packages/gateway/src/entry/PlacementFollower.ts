/** Reports the bytes of services, and takes over the shares of requests to other data centres that the hub decides on. */
import type { Clock } from '@marigoldbank/base/clock';
import type { HubUpdate } from '@marigoldbank/protocol/gen/marigoldbank/v1/sync_pb';
import type { DestinationShare, PlacementShares } from '@marigoldbank/routing/load/PlacementShares';
import { placementShare } from '../metrics.js';
import { appliesTo, type PlanScope } from '../plan-scope.js';
import { EntryExtension, type ReportFields } from './EntryExtension.js';
import type { EntryState } from './EntryState.js';
import { ServiceBytes } from './ServiceBytes.js';

const PERMILLE = 1_000;

/** Bytes are reported this often, with reports that are sent anyway. */
const REPORT_INTERVAL_MS = 1_000;

export interface PlacementFollowerContext {
  readonly clock: Clock;
  readonly state: Pick<EntryState, 'placements' | 'serviceBytes' | 'onDidChangePlan'>;
  /** Data centre of this entry. */
  readonly dataCentre: string;
  readonly plans: PlanScope;
}

export class PlacementFollower extends EntryExtension {
  private readonly shares: PlacementShares;

  private readonly dataCentre: string;

  private reportedAt = -Infinity;

  public constructor(private readonly ctx: PlacementFollowerContext) {
    super();
    const { state, plans, dataCentre } = ctx;
    this.shares = state.placements;
    this.dataCentre = dataCentre;
    state.onDidChangePlan(({ plan }) => {
      if (appliesTo(plans, plan)) state.serviceBytes ??= new ServiceBytes();
    });
  }

  public override takeReport(): ReportFields {
    const { clock, state } = this.ctx;
    const now = clock.now();
    if (state.serviceBytes === undefined || now - this.reportedAt < REPORT_INTERVAL_MS) return {};
    this.reportedAt = now;
    return { traffic: state.serviceBytes.take() };
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
