/** Whether a leader vouches for what a hub holds. */
import type { Clock } from '@marigoldbank/base/clock';
import type { Logger } from '@marigoldbank/daemon/telemetry/Logger';
import type { IReplicatedLog } from '@marigoldbank/replicated-log';
import { ConfirmationTracker } from './ConfirmationTracker.js';

/** Control VMs that start together have elected a leader by then, and it has confirmed the others. */
const NEW_MS = 2_500;

/** Without a leader for this long, a plan that may be old is better for callers than none. */
const WITHHOLD_PLAN_MS = 10_000;

export interface FreshnessContext {
  readonly clock: Clock;
  readonly log: Pick<IReplicatedLog, 'status' | 'confirmRead'>;
  readonly logger: Logger;
  /** Whether a majority of the voters is heard. */
  readonly hearsMajority: (now: number) => boolean;
  /** Tells the other hubs that everything up to an index is committed. */
  readonly tellConfirmed: (index: number) => void;
}

export class HubFreshness {
  private readonly confirmation = new ConfirmationTracker();

  private readonly startedAt: number;

  private isConfirming = false;

  public constructor(private readonly ctx: FreshnessContext) {
    this.startedAt = ctx.clock.now();
  }

  /** Milliseconds since a majority confirmed what this hub holds, Infinity before the first time. */
  public confirmedAgeMs(): number {
    return this.confirmation.ageMs(this.ctx.clock.now());
  }

  /**
   * A member that has just started replays its log, and one with a new disk begins without it. Until a leader has
   * confirmed it, its plan may be an old one.
   */
  public get mayTellPlan(): boolean {
    return this.hasBeenConfirmed || this.ageMs() > WITHHOLD_PLAN_MS;
  }

  /** Whether a majority of the voters is heard, and no leader among them has been for a while. */
  public isLeaderless(now: number): boolean {
    if (!this.confirmation.isOverdue(now)) return false;
    // A hub that has just started cannot tell yet; most likely the others have, too.
    if (!this.hasBeenConfirmed && this.ageMs() < NEW_MS) return true;
    return this.ctx.hearsMajority(now);
  }

  /** The leader has told that everything up to an index is committed. */
  public noteConfirmed(index: number): void {
    const { clock, log } = this.ctx;
    this.confirmation.note(index, clock.now(), log.status().commitIndex);
  }

  /** Takes new commits into account; a leader asks for a confirmation. */
  public update(): void {
    const status = this.ctx.log.status();
    this.confirmation.advance(status.commitIndex);
    if (status.role === 'leader') this.confirm();
  }

  private get hasBeenConfirmed(): boolean {
    return this.confirmedAgeMs() < Infinity;
  }

  private ageMs(): number {
    return this.ctx.clock.now() - this.startedAt;
  }

  /** A leader asks a majority whether it still leads; the answer vouches for what all hubs hold. */
  private confirm(): void {
    if (this.isConfirming) return;
    this.isConfirming = true;
    const { clock, log, logger, tellConfirmed } = this.ctx;
    const askedAt = clock.now();
    log
      .confirmRead()
      .then((read) => {
        this.isConfirming = false;
        if (read.kind !== 'confirmed') return;
        this.confirmation.note(read.index, askedAt, log.status().commitIndex);
        tellConfirmed(read.index);
      })
      .catch((err: unknown) => {
        this.isConfirming = false;
        logger.warn('leadership was not confirmed', { error: String(err) });
      });
  }
}
