/** Tracks whether the replicated state of a hub is confirmed as current by a leader. */
import type { Clock } from '@marigoldbank/base/clock';
import type { Logger } from '@marigoldbank/daemon/telemetry/Logger';
import type { IReplicatedLog } from '@marigoldbank/replicated-log';
import { ConfirmationTracker } from './ConfirmationTracker.js';

/** Control VMs that start together elect a leader within this time, and the leader confirms the state of the others. */
const STARTUP_GRACE_MS = 2_500;

/** Without a confirmation this long after the start, entries are sent the plan: an outdated one is better than none. */
const WITHHOLD_PLAN_MS = 10_000;

export interface FreshnessContext {
  readonly clock: Clock;
  readonly log: Pick<IReplicatedLog, 'status' | 'confirmRead'>;
  readonly logger: Logger;
  /** Whether messages of a majority of the voters arrive. */
  readonly reachesMajority: (now: number) => boolean;
  /** Sends a confirmed index to the other hubs. */
  readonly broadcastConfirmed: (index: number) => void;
}

export class HubFreshness {
  private readonly confirmation = new ConfirmationTracker();

  private readonly startedAt: number;

  private isConfirming = false;

  public constructor(private readonly ctx: FreshnessContext) {
    this.startedAt = ctx.clock.now();
  }

  /** Milliseconds since a majority confirmed the state of this hub, Infinity before the first confirmation. */
  public confirmedAgeMs(): number {
    return this.confirmation.ageMs(this.ctx.clock.now());
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
    if (!this.confirmation.isOverdue(now)) return false;
    // A hub that has just started cannot tell yet; most likely the other hubs have just started as well.
    if (!this.hasBeenConfirmed && this.uptimeMs() < STARTUP_GRACE_MS) return true;
    return this.ctx.reachesMajority(now);
  }

  /** Records a confirmation that another hub sent as leader: `index` is the last committed index. */
  public noteConfirmed(index: number): void {
    const { clock, log } = this.ctx;
    this.confirmation.record(index, clock.now(), log.status().commitIndex);
  }

  /** Takes new commits into account; a leader also requests a confirmation. */
  public update(): void {
    const status = this.ctx.log.status();
    this.confirmation.advance(status.commitIndex);
    if (status.role === 'leader') this.confirm();
  }

  private get hasBeenConfirmed(): boolean {
    return this.confirmedAgeMs() < Infinity;
  }

  private uptimeMs(): number {
    return this.ctx.clock.now() - this.startedAt;
  }

  /** Confirms with a majority that this hub still leads; all hubs use the result to confirm their state. */
  private confirm(): void {
    if (this.isConfirming) return;
    this.isConfirming = true;
    const { clock, log, logger, broadcastConfirmed } = this.ctx;
    const askedAt = clock.now();
    log
      .confirmRead()
      .then((read) => {
        this.isConfirming = false;
        if (read.kind !== 'confirmed') return;
        this.confirmation.record(read.index, askedAt, log.status().commitIndex);
        broadcastConfirmed(read.index);
      })
      .catch((err: unknown) => {
        this.isConfirming = false;
        logger.warn('leadership was not confirmed', { error: String(err) });
      });
  }
}
