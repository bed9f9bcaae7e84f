/** Decides twice a second how many requests go to other data centres, and tells the entries of this hub. */
import type { EntryReport, HubRelay } from '@marigoldbank/protocol/gen/marigoldbank/v1/sync_pb';
import { CrossingPrices } from '@marigoldbank/routing/load/CrossingPrices';
import { dataCentreLoads } from '@marigoldbank/routing/load/DataCentreLoad';
import { PlacementPolicy } from '@marigoldbank/routing/load/PlacementPolicy';
import type { RoutingPlan } from '@marigoldbank/routing/plan';
import type { ShareRow } from '@marigoldbank/routing/load/planCrossings';
import type { IServiceLoad } from '@marigoldbank/routing/load/types';
import { crossingPriceOf, placementShare } from '../metrics.js';
import { appliesTo, type PlanScope } from '../plan-scope.js';
import type { EntryIdentity } from './EntryRegistry.js';
import { HubExtension, type HubExtensionContext, type UpdateFields } from './HubExtension.js';
import type { PeerHub } from './PeerHub.js';
import { PlacementLoad } from './PlacementLoad.js';
import { PlacementPaths } from './PlacementPaths.js';

const DECISION_MS = 500;

/** A hub that has just started has not heard of all demand and targets yet. */
const LEARNING_MS = 3_000;

const PERMILLE = 1_000;

type PlacementInit = NonNullable<UpdateFields['placements']>[number];

/** Shares of a service in thousandths, as sent to entries. A service without any is named once, with no data centre. */
function toMessages(service: string, row: ShareRow): PlacementInit[] {
  const items = [...row].map(([dataCentre, share]) => ({
    service,
    dataCentre,
    permille: Math.round(share * PERMILLE),
  }));
  return items.length > 0 ? items : [{ service, dataCentre: '', permille: 0 }];
}

export class PlacementDistributor extends HubExtension {
  private readonly policy: PlacementPolicy;

  private readonly prices: CrossingPrices;

  private readonly paths: PlacementPaths;

  /** Knows the targets; also counts demand while no other part of the hub does. */
  private readonly ownLoad: PlacementLoad;

  /** Requests counted since the last message to other hubs, by service and data centre. */
  private readonly unsent = new Map<
    string,
    { service: string; dataCentre: string; offered: number }
  >();

  /** Shares by service and data centre, as entries were last told. */
  private readonly sent = new Map<string, Map<string, ShareRow>>();

  /** Monotonic ms of the first plan that called for this part. */
  private startedAt: number | undefined;

  private nextDecisionAt = -Infinity;

  /** Without `load`, demand and room are derived from what entries report in any case. */
  public constructor(
    ctx: HubExtensionContext,
    crossingPrice: number,
    private readonly plans: PlanScope,
    private readonly load?: IServiceLoad,
  ) {
    super(ctx);
    this.policy = new PlacementPolicy(crossingPrice);
    this.prices = new CrossingPrices(crossingPrice);
    this.paths = new PlacementPaths(ctx.settings.dataCentre, ctx.entries);
    this.ownLoad = new PlacementLoad(ctx);
  }

  public override isCrossingPriced(): boolean {
    return this.startedAt !== undefined;
  }

  /** Entries of a data centre use targets of another one only by the shares that are in force there. */
  public override canWait(target: string, dataCentre: string): boolean {
    const site = this.ownLoad.siteOfTarget(target);
    if (site === undefined || site.dataCentre === dataCentre) return false;
    const row = this.sent.get(site.service)?.get(dataCentre);
    return row !== undefined && !row.has(site.dataCentre);
  }

  /** Starts with the first plan that calls for it. It goes on under later ones, as entries keep to their shares. */
  public override planChanged(plan: RoutingPlan): void {
    if (this.startedAt !== undefined || !appliesTo(this.plans, plan)) return;
    const { clock, targets } = this.ctx;
    this.startedAt = clock.now();
    this.nextDecisionAt = this.startedAt;
    targets.onDidObserve((evidence) => this.ownLoad.observe(evidence, clock.now()));
  }

  public override forEntry({ dataCentre }: EntryIdentity): UpdateFields {
    const placements = [...this.sent].flatMap(([service, rows]) =>
      toMessages(service, rows.get(dataCentre) ?? new Map()),
    );
    return placements.length > 0 ? { placements } : {};
  }

  public override handleReport(identity: EntryIdentity, report: EntryReport, now: number): void {
    if (this.startedAt === undefined) return;
    const { dataCentre } = identity;
    this.paths.noteReport(
      dataCentre,
      report,
      (id) => this.ownLoad.siteOfTarget(id)?.dataCentre,
      now,
    );
    report.traffic.forEach(({ service, requests, bytes }) =>
      this.prices.add(service, requests, bytes, now),
    );
    if (this.load !== undefined) return;
    report.uses.forEach(({ service, requests }) => {
      if (requests === 0) return;
      this.ownLoad.addDemand(service, dataCentre, requests, now);
      const key = `${service}\n${dataCentre}`;
      const known = this.unsent.get(key)?.offered ?? 0;
      this.unsent.set(key, { service, dataCentre, offered: known + requests });
    });
  }

  public override handleRelay(relay: HubRelay, peer: PeerHub, now: number): void {
    if (this.startedAt === undefined) return;
    this.paths.noteRelay(relay, peer, now);
    if (this.load !== undefined) return;
    relay.demand.forEach(({ service, dataCentre, offered }) =>
      this.ownLoad.addDemand(service, dataCentre, offered, now),
    );
  }

  public override tick(now: number): void {
    if (this.startedAt === undefined) return;
    this.ownLoad.sample();
    if (this.unsent.size > 0) this.ctx.sendToHubs({ demand: [...this.unsent.values()] });
    this.unsent.clear();
    if (now < this.nextDecisionAt) return;
    this.nextDecisionAt = Math.max(this.nextDecisionAt + DECISION_MS, now);
    this.ownLoad.refresh(now);
    if (now - this.startedAt >= LEARNING_MS) this.decide(now);
  }

  private decide(now: number): void {
    const load = this.load ?? this.ownLoad;
    const changes = new Map<string, PlacementInit[]>();
    load.services.forEach((service) => {
      const dataCentres = dataCentreLoads(
        load,
        service,
        (dataCentre) => this.paths.heardShare(dataCentre, now),
        now,
      );
      // Without a known duration nothing is known of the room.
      if (dataCentres.every(({ slots }) => slots === 0)) return;
      const pathOf = (from: string, to: string): ReturnType<PlacementPaths['pathOf']> =>
        this.paths.pathOf(from, to, now);
      const price = this.prices.priceOf(service, now);
      crossingPriceOf.set({ service }, price);
      const table = this.policy.decide({ service, dataCentres, pathOf, price }, now);
      table.forEach((row, from) => {
        if (!this.noteRow(service, from, row)) return;
        changes.set(from, [...(changes.get(from) ?? []), ...toMessages(service, row)]);
      });
    });
    changes.forEach((placements, from) => this.ctx.sendToEntries({ placements }, from));
  }

  /** Notes the shares of a data centre. Returns whether entries must be told, and logs it if requests are moved. */
  private noteRow(service: string, from: string, row: ShareRow): boolean {
    const rows = this.sent.get(service) ?? new Map<string, ShareRow>();
    this.sent.set(service, rows);
    const known = rows.get(from);
    const isSame =
      known !== undefined &&
      known.size === row.size &&
      [...row].every(([to, share]) => Math.abs((known.get(to) ?? 0) - share) * PERMILLE < 1);
    if (isSame) return false;
    rows.set(from, row);
    known?.forEach((_, to) => placementShare.set({ service, from, to }, 0));
    row.forEach((share, to) => placementShare.set({ service, from, to }, share));
    if (row.size > 0 || (known?.size ?? 0) > 0) {
      const shares = Object.fromEntries(
        [...row].map(([to, share]) => [to, Math.round(share * PERMILLE) / PERMILLE]),
      );
      this.ctx.logger.info('placement changed', { service, from, shares: JSON.stringify(shares) });
    }
    return true;
  }
}
