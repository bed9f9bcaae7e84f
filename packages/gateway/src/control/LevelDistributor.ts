/** Adds up the demand of the fleet, and tells entries which requests they admit while there is too little room. */
import type {
  EntryReport,
  HubRelay,
  ServiceDemand,
} from '@marigoldbank/protocol/gen/marigoldbank/v1/sync_pb';
import { isOpen, OPEN_LEVEL, type Level } from '@marigoldbank/routing/load/LevelPolicy';
import { RankLevelPolicy } from '@marigoldbank/routing/load/RankLevelPolicy';
import { rankedServices } from '@marigoldbank/routing/load/ranked-services';
import { ServiceLoadTable } from '@marigoldbank/routing/load/ServiceLoadTable';
import { USUAL_PACE, type TargetPaces } from '@marigoldbank/routing/load/TargetPaces';
import type { RoutingPlan } from '@marigoldbank/routing/plan';
import { levelAdmittedShare } from '../metrics.js';
import { DemandCounts } from '../sync/DemandCounts.js';
import { toLevelMessage } from '../sync/level-codec.js';
import type { EntryIdentity } from './EntryRegistry.js';
import { HubExtension, type HubExtensionContext, type UpdateFields } from './HubExtension.js';

const UPDATE_INTERVAL_MS = 500;

/** Interval of the list of targets. */
const TARGETS_INTERVAL_MS = 500;

/**
 * After a pause of the hub longer than this, the reports of the pause arrive together and seem to be a burst. Levels stay as
 * they are until that is forgotten.
 */
const MAX_TICK_MS = 600;
const SETTLE_MS = 2_000;

/** Minimum interval between two log lines about one service. */
const LOG_INTERVAL_MS = 1_000;

const MAX_LOGGED_TEAMS = 10;

const PERCENT = 100;

interface ServiceState {
  readonly policy: RankLevelPolicy;
  level: Level;
  /** Level as last sent, as JSON. */
  sent: string;
  loggedAt: number;
  isLogDue: boolean;
}

function noteChange(service: string, state: ServiceState, level: Level): void {
  [...state.level.ranks.keys()].forEach((rank) => levelAdmittedShare.remove({ service, rank }));
  level.ranks.forEach((share, rank) => levelAdmittedShare.set({ service, rank }, share));
  Object.assign(state, { isLogDue: true });
}

export class LevelDistributor extends HubExtension {
  /** Demand and room of the fleet, as known to this hub. */
  public readonly load: ServiceLoadTable;

  private readonly services = new Map<string, ServiceState>();

  private readonly pending = new DemandCounts();

  private ranked: ReadonlySet<string> = new Set();

  private tickedAt: number;

  private listedAt = -Infinity;

  private nextUpdateAt: number;

  /** `paces` says how long targets take relative to others, and which part of their slots they use. All are alike without it. */
  public constructor(ctx: HubExtensionContext, paces?: TargetPaces) {
    super(ctx);
    const now = ctx.clock.now();
    this.load = new ServiceLoadTable(now, (id) =>
      paces === undefined
        ? USUAL_PACE
        : paces.paceOf({ id, born: ctx.targets.bornOf(id) }, ctx.clock.now()),
    );
    this.tickedAt = now;
    // The first counts are those of few entries.
    this.nextUpdateAt = now + SETTLE_MS;
  }

  public override forEntry(): UpdateFields {
    return {
      levels: [...this.services]
        .filter(([, { level }]) => !isOpen(level))
        .map(([service, { level }]) => toLevelMessage(service, level)),
    };
  }

  public override handleReport(identity: EntryIdentity, report: EntryReport, now: number): void {
    const { dataCentre } = identity;
    report.demand.forEach((demand) => {
      const { service, rank, team, offered, refused, ended, unplaced } = demand;
      this.add(demand, dataCentre, now);
      this.pending.add({ service, rank, team, dataCentre, offered, refused, ended, unplaced });
    });
  }

  public override handleRelay(relay: HubRelay, _peer: unknown, now: number): void {
    relay.demand.forEach((demand) => this.add(demand, demand.dataCentre, now));
  }

  public override planChanged(plan: RoutingPlan): void {
    this.ranked = rankedServices(plan);
    this.load.setTeamLimits(
      new Map(
        plan.teams
          .filter(({ ratePerSecond }) => ratePerSecond > 0)
          .map(({ name, ratePerSecond }) => [name, ratePerSecond]),
      ),
    );
  }

  public override tick(now: number): void {
    const demand = this.pending.take();
    if (demand.length > 0) this.ctx.sendToHubs({ demand });
    if (now - this.tickedAt > MAX_TICK_MS) this.nextUpdateAt = now + SETTLE_MS;
    this.tickedAt = now;
    this.listTargets(now);
    this.load.sample(this.ctx.inFlight, this.heardShare(now), now);
    if (now < this.nextUpdateAt) return;
    this.nextUpdateAt = Math.max(this.nextUpdateAt + UPDATE_INTERVAL_MS, now);
    this.updateLevels(now);
  }

  private add(demand: ServiceDemand, dataCentre: string, now: number): void {
    const { service, rank, team, offered, refused, ended, unplaced } = demand;
    if (unplaced > 0) this.load.addUnplaced(service, unplaced, now);
    if (ended > 0) this.load.addEnded(service, ended, now);
    if (offered > 0) {
      this.load.addDemand({ service, dataCentre, rank, team, offered, refused }, now);
    }
  }

  private listTargets(now: number): void {
    if (now - this.listedAt < TARGETS_INTERVAL_MS) return;
    this.listedAt = now;
    const targets = this.ctx.targets
      .describeUsable()
      .map(({ id, service = '', dataCentre = '', slots = 0 }) => ({
        id,
        service,
        dataCentre,
        slots,
      }));
    this.load.setTargets(targets);
  }

  /** Share of the entries whose demand and load arrive here. */
  private heardShare(now: number): number {
    const { entries } = this.ctx;
    const expected = entries.expectedSize(now);
    return expected === 0 ? 1 : Math.min(1, entries.size / expected);
  }

  private updateLevels(now: number): void {
    const services = new Set([...this.load.services, ...this.services.keys()]);
    const changed = [...services].flatMap((service) => {
      const state = this.stateOf(service);
      const level = this.ranked.has(service)
        ? state.policy.update(
            { offered: this.load.offeredTo(service, now), ...this.load.usedRoomOf(service) },
            now,
          )
        : OPEN_LEVEL;
      const message = toLevelMessage(service, isOpen(level) ? OPEN_LEVEL : level);
      const sent = JSON.stringify(message);
      if (sent !== state.sent) noteChange(service, state, level);
      const isNews = sent !== state.sent;
      Object.assign(state, { level, sent });
      this.log(service, state, now);
      return isNews ? [message] : [];
    });
    if (changed.length > 0) this.ctx.sendToEntries({ levels: changed });
  }

  private log(service: string, state: ServiceState, now: number): void {
    if (!state.isLogDue || now - state.loggedAt < LOG_INTERVAL_MS) return;
    Object.assign(state, { isLogDue: false, loggedAt: now });
    const percents = (shares: ReadonlyMap<unknown, number>): string =>
      [...shares]
        .slice(0, MAX_LOGGED_TEAMS)
        .map(([key, share]) => `${String(key)}:${Math.round(share * PERCENT)}`)
        .join(',');
    const { room, busyShare } = this.load.usedRoomOf(service);
    const offered = this.load.offeredTo(service, now);
    this.ctx.logger.info('level changed', {
      service,
      rankPercent: percents(state.level.ranks),
      teamPercent: percents(state.level.teams),
      demand: Math.round(offered.reduce((sum, { perSecond }) => sum + perSecond, 0)),
      room: Math.round(room),
      busyPercent: Math.round(busyShare * PERCENT),
    });
  }

  private stateOf(service: string): ServiceState {
    const known = this.services.get(service);
    if (known !== undefined) return known;
    const created: ServiceState = {
      policy: new RankLevelPolicy(),
      level: OPEN_LEVEL,
      sent: JSON.stringify(toLevelMessage(service, OPEN_LEVEL)),
      loggedAt: -Infinity,
      isLogDue: false,
    };
    this.services.set(service, created);
    return created;
  }
}
