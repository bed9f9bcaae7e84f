/** Tells whether the state of a hub is confirmed as current, by what its log says. */
import type { Clock } from '@marigoldbank/base/clock';
import type { Logger } from '@marigoldbank/daemon/telemetry/Logger';
import { hubConfirmedAge } from '../metrics.js';
import { MAX_CONFIRMED_AGE_MS } from '../sync/confirmation.js';
import type { ILogView } from './LogView.js';

/** Without a confirmation of a leader for this long, the next one is overdue; one comes every 200 ms. */
const OVERDUE_MS = 800;

/** Control VMs that start together elect a leader within this time, and the leader confirms the state of the others. */
const STARTUP_GRACE_MS = 2_500;

/** Without a confirmation this long after the start, entries are sent the plan: an outdated one is better than none. */
const WITHHOLD_PLAN_MS = 10_000;

/** Targets announce themselves every 1 to 2 s, and try other control VMs first if one does not answer. */
const ANNOUNCEMENT_GRACE_MS = 4_000;

/**
 * Without a confirmation for this long, a hub that hears of another one which has one knows that there is a leader: had it
 * been lost, the others would have told by then that they are late as well.
 */
const LEADER_ELSEWHERE_MS = 2_000;

const MS_PER_SECOND = 1_000;

export interface FreshnessContext {
  readonly clock: Clock;
  readonly log: ILogView;
  readonly logger: Logger;
  /** Whether messages of a majority of the voters arrive. */
  readonly reachesMajority: (now: number) => boolean;
  /** Whether another hub is heard whose state is confirmed. */
  readonly hasOneOnTime: (now: number) => boolean;
}

export class HubFreshness {
  private readonly startedAt: number;

  private isStale = false;

  public constructor(private readonly ctx: FreshnessContext) {
    this.startedAt = ctx.clock.now();
  }

  /** Milliseconds since a majority confirmed the state of this hub, Infinity before the first confirmation. */
  public confirmedAgeMs(): number {
    return this.ctx.clock.now() - this.ctx.log.confirmedAt;
  }

  /**
   * Whether entries may be sent the plan. A member that has just started replays its log, and one with a new disk
   * starts without a log: its plan may be outdated until a leader has confirmed it.
   */
  public get maySendPlan(): boolean {
    return this.hasBeenConfirmed || this.uptimeMs() > WITHHOLD_PLAN_MS;
  }

  /**
   * Whether messages of a majority of the voters arrive, but no recent confirmation of a leader. Entries stay longer
   * with such a hub, since the other hubs are not confirmed either.
   */
  public isLeaderless(now: number): boolean {
    if (now - this.ctx.log.leaderSeenAt <= OVERDUE_MS || this.isWithoutLog) return false;
    // A hub that has just started cannot tell yet; most likely the other hubs have just started as well.
    if (!this.hasBeenConfirmed && this.uptimeMs() < STARTUP_GRACE_MS) return true;
    // The messages of this VM may be lost while those of the others arrive.
    const isLeaderElsewhere =
      this.confirmedAgeMs() > LEADER_ELSEWHERE_MS && this.ctx.hasOneOnTime(now);
    return this.ctx.reachesMajority(now) && !isLeaderElsewhere;
  }

  /** Whether the log process of this VM does not answer any more, so that the hub learns of no changes. */
  public get isWithoutLog(): boolean {
    return !this.ctx.log.isAnswering;
  }

  /** Whether the state of this hub was confirmed once, but not recently when it reaches an entry. */
  public get isLate(): boolean {
    const ageAtEntryMs = this.confirmedAgeMs() + this.ctx.log.answerDelayMs;
    const isOld = this.hasBeenConfirmed && ageAtEntryMs > MAX_CONFIRMED_AGE_MS;
    return isOld || this.isWithoutLog;
  }

  /** Whether most targets have not had the time to announce themselves to this hub. */
  public get isStarting(): boolean {
    return this.uptimeMs() < ANNOUNCEMENT_GRACE_MS;
  }

  /**
   * Whether messages of a majority of the voters do not arrive. Not known, and so false, shortly after the start and
   * before the log has named the voters. Messages of the hubs also stay out if this one or the others are busy; then the
   * log of this VM still hears a leader, and its entries gain nothing elsewhere.
   */
  public isCutOff(now: number): boolean {
    const { log, reachesMajority } = this.ctx;
    if (now - log.leaderSeenAt <= OVERDUE_MS && !this.isWithoutLog) return false;
    const isKnown = log.voters.length > 0 && this.uptimeMs() > STARTUP_GRACE_MS;
    return isKnown && !reachesMajority(now);
  }

  /** Logs when the state of this hub is no longer confirmed, and when it is again. */
  public update(): void {
    const { clock, log, logger } = this.ctx;
    const ageMs = this.confirmedAgeMs();
    hubConfirmedAge.set(ageMs / MS_PER_SECOND);
    const isStale = ageMs > MAX_CONFIRMED_AGE_MS;
    if (isStale === this.isStale || !this.hasBeenConfirmed) return;
    this.isStale = isStale;
    const isLeaderless = this.isLeaderless(clock.now());
    const { isLeader, leader = '' } = log;
    const context = { ageMs: Math.round(ageMs), isLeader, leader, isLeaderless };
    if (isStale) logger.warn('state of the hub is not confirmed', context);
    else logger.info('state of the hub is confirmed again', context);
  }

  private get hasBeenConfirmed(): boolean {
    return this.confirmedAgeMs() < Infinity;
  }

  private uptimeMs(): number {
    return this.ctx.clock.now() - this.startedAt;
  }
}
