/** Counts the targets of each service that have got no request for a while, and logs it where requests are not served. */
import { setPeriodic, type Clock } from '@marigoldbank/base/clock';
import { DisposableStore } from '@marigoldbank/base/lifecycle';
import type { Logger } from '@marigoldbank/daemon/telemetry/Logger';
import {
  UNUSED_REASONS,
  unusedReason,
  type UnusedReason,
} from '@marigoldbank/routing/unused-targets';
import { knownTargets, unusedTargets } from '../metrics.js';
import type { EntryState } from './EntryState.js';

const CHECK_MS = 1_000;

/** Services whose requests are served are checked this often. */
const QUIET_CHECK_MS = 30_000;

/** Logged if more of the targets of a service are unused, while more of its requests are not served. */
const LOGGED_UNUSED_SHARE = 0.25;
const LOGGED_UNSERVED_SHARE = 0.1;

const LOG_INTERVAL_MS = 2_000;

const PERCENT = 100;

export interface MonitorContext {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly state: EntryState;
  readonly dataCentre: string;
}

export class UnusedTargetsMonitor extends DisposableStore {
  /** Monotonic ms of the last log line, and of the last count, by service. */
  private readonly loggedAt = new Map<string, number>();

  private readonly countedAt = new Map<string, number>();

  public constructor(private readonly ctx: MonitorContext) {
    super();
    this.add(setPeriodic(ctx.clock, () => this.check(), CHECK_MS));
  }

  private check(): void {
    const { state } = this.ctx;
    state.currentRouteTable?.plan.services.forEach(({ name }) => this.checkService(name));
  }

  private checkService(service: string): void {
    const { clock, logger, state, dataCentre } = this.ctx;
    const now = clock.now();
    const unservedShare = state.servedShares.unservedShare(service, now);
    const isQuiet = unservedShare <= LOGGED_UNSERVED_SHARE;
    if (isQuiet && now - (this.countedAt.get(service) ?? -Infinity) < QUIET_CHECK_MS) return;
    this.countedAt.set(service, now);
    const targets = state.targets.candidates(service);
    const filter = state.targetFilter;
    const reasons = targets
      .map((target) => unusedReason(target, { dataCentre, filter, limits: state.limits }, now))
      .filter((reason) => reason !== undefined);
    const countOf = (reason: UnusedReason): number =>
      reasons.filter((other) => other === reason).length;
    const counts = Object.fromEntries(UNUSED_REASONS.map((reason) => [reason, countOf(reason)]));
    knownTargets.set({ service }, targets.length);
    Object.entries(counts).forEach(([reason, count]) =>
      unusedTargets.set({ service, reason }, count),
    );
    if (isQuiet || reasons.length <= LOGGED_UNUSED_SHARE * targets.length) return;
    if (now - (this.loggedAt.get(service) ?? -Infinity) < LOG_INTERVAL_MS) return;
    this.loggedAt.set(service, now);
    logger.warn('targets are unused while requests are not served', {
      service,
      known: targets.length,
      ...counts,
      unservedPercent: Math.round(PERCENT * unservedShare),
      isFollowingHub: state.isFollowingHub(now),
    });
  }
}
