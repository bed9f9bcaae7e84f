/** Admission by rank at an entry: counts demand for the hub, and refuses requests by the levels of the hub. */
import type { HubUpdate } from '@marigoldbank/protocol/gen/marigoldbank/v1/sync_pb';
import { levelRetryMs } from '@marigoldbank/routing/load/level-retry';
import { rankedServices } from '@marigoldbank/routing/load/ranked-services';
import { ServiceLevels } from '@marigoldbank/routing/load/ServiceLevels';
import type { Route, Team } from '@marigoldbank/routing/plan';
import { pickService } from '@marigoldbank/routing/RouteTable';
import type { TargetState } from '@marigoldbank/routing/TargetTable';
import { levelRefusalsTotal } from '../metrics.js';
import { DemandCounts } from '../sync/DemandCounts.js';
import { toLevel } from '../sync/level-codec.js';
import { EntryExtension, type ReportFields } from './EntryExtension.js';
import type { EntryExtensionContext } from './entry-extensions.js';
import type { ErrorResponse } from './ErrorResponse.js';
import type { AttemptResult } from './SendAttempt.js';

/** Demand is reported this often. Hubs compute levels each 500 ms. */
const REPORT_INTERVAL_MS = 180;

const NO_TEAM = '';

const NONE = { offered: 0, refused: 0, ended: 0, unplaced: 0 };

export interface RankedDecision {
  /** Service that was picked for the request. */
  readonly service: string;
  /** The refusal, undefined if the request is admitted. */
  readonly error: ErrorResponse | undefined;
}

export class RankedAdmission extends EntryExtension {
  private readonly levels: ServiceLevels;

  private readonly counts = new DemandCounts();

  private reportedAt = -Infinity;

  public constructor(private readonly ctx: EntryExtensionContext) {
    super();
    const { state } = ctx;
    this.levels = new ServiceLevels(state.random);
    state.onDidChangePlan(({ plan }) => this.levels.setRanked(rankedServices(plan)));
    state.rankedAdmission = this;
  }

  /** Picks the service of a request and decides whether it is admitted. `dueAt` is its deadline in monotonic ms. */
  public decide(route: Route, team: Team | undefined, dueAt: number): RankedDecision {
    const { clock, state } = this.ctx;
    const now = clock.now();
    const service = pickService(route, state.random.float());
    const rank = team?.priority ?? route.priority;
    const teamName = team?.name ?? NO_TEAM;
    const decision = this.levels.decide({ service, rank, team: teamName }, now);
    const isRefused = decision.kind === 'refused';
    this.count(service, rank, teamName, { ...NONE, offered: 1, refused: isRefused ? 1 : 0 });
    if (!isRefused) return { service, error: undefined };
    levelRefusalsTotal.inc({ service, rank, by: decision.decidedBy });
    const retryAfterMs = levelRetryMs(decision.waitMs, dueAt - now, state.random.float());
    return { service, error: { kind: 'overloaded', verdict: 'notRun', retryAfterMs } };
  }

  /** Notes the result of an attempt. Returns whether the target rejected it for lack of room. */
  public noteEnded({ kind, target, ...result }: AttemptResult, now: number): boolean {
    const { info, ownInFlight, othersInFlight } = target;
    const { service, slots } = info;
    const isRejected = kind === 'notRun' && 'wasSent' in result && result.wasSent;
    const load = (ownInFlight + othersInFlight) / Math.max(1, slots);
    const isOutOfRoom = this.levels.noteEnded(service, { isRejected, load }, now);
    // A request that the target did not run took none of its slots.
    if (kind !== 'notRun') this.noteCancelled(target);
    return isOutOfRoom;
  }

  /** Notes an attempt that was cancelled. Until then it took a slot. */
  public noteCancelled({ info }: TargetState): void {
    this.count(info.service, 0, NO_TEAM, { ...NONE, ended: 1 });
  }

  /** Notes a request for which no target gave a slot, for other reasons than a lack of free ones. */
  public noteUnplaced(service: string): void {
    this.count(service, 0, NO_TEAM, { ...NONE, unplaced: 1 });
  }

  /** Drops what was counted without a hub: it would seem to be the demand of a moment. */
  public override attached(): void {
    this.counts.take();
  }

  public override takeReport(): ReportFields {
    const now = this.ctx.clock.now();
    if (now - this.reportedAt < REPORT_INTERVAL_MS) return {};
    this.reportedAt = now;
    return { demand: this.counts.take() };
  }

  public override apply(update: HubUpdate, isFirst: boolean, now: number): void {
    this.levels.noteHub(now);
    if (isFirst) this.levels.clear();
    update.levels.forEach((level) => this.levels.setLevel(level.service, toLevel(level)));
  }

  private count(service: string, rank: number, team: string, counts: typeof NONE): void {
    this.counts.add({ service, rank, team, dataCentre: '', ...counts });
  }
}
