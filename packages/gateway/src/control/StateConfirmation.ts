/**
 * Confirms the state of the replicated log of this VM: a leader asks a majority of the voters, the others ask the
 * leader. Only log processes take part, so that a busy hub delays none of it.
 */
import type { Client } from '@connectrpc/connect';
import { setPeriodic, type Clock } from '@marigoldbank/base/clock';
import { DisposableStore } from '@marigoldbank/base/lifecycle';
import type { Logger } from '@marigoldbank/daemon/telemetry/Logger';
import type { LogService } from '@marigoldbank/protocol/gen/marigoldbank/v1/log_pb';
import type { IReplicatedLog, Member } from '@marigoldbank/replicated-log';
import { ConfirmationTracker } from './ConfirmationTracker.js';

/** Interval of confirmations. Hubs and entries without a recent one consider their state late after 1.3 s. */
const CONFIRM_INTERVAL_MS = 200;

/** Interval before the first confirmation: until then, entries without a plan cannot serve. */
const FIRST_INTERVAL_MS = 40;

/** Answers come within milliseconds. A leader that is frozen or cut off sends none. */
const ASK_TIMEOUT_MS = 300;

/** A leader that has confirmed nothing to this VM for longer may be frozen or cut off. */
const LEADER_TIMEOUT_MS = 700;

/** The newest confirmation of a leader. */
export interface LeaderConfirmation {
  readonly isLeader: boolean;
  /** Undefined if nothing was confirmed yet. */
  readonly index: number | undefined;
  readonly ageMs: number;
}

export interface ConfirmationContext {
  readonly clock: Clock;
  readonly log: Pick<IReplicatedLog, 'status' | 'confirmRead'>;
  readonly logger: Logger;
  readonly clientOf: (address: string) => Pick<Client<typeof LogService>, 'confirm'>;
}

interface Confirmed {
  readonly index: number;
  readonly at: number;
}

export class StateConfirmation extends DisposableStore {
  private readonly tracker = new ConfirmationTracker();

  /** Newest confirmation of this VM as leader, undefined unless it led when it asked. */
  private own: Confirmed | undefined;

  /** VM of the leader that confirmed last. */
  private confirmedBy: string | undefined;

  private askedAt = -Infinity;

  private isAsking = false;

  public constructor(private readonly ctx: ConfirmationContext) {
    super();
    this.add(setPeriodic(ctx.clock, () => this.tick(), FIRST_INTERVAL_MS));
  }

  /** Milliseconds since a majority confirmed the state of this VM, Infinity if that never happened. */
  public confirmedAgeMs(): number {
    this.tracker.advance(this.ctx.log.status().commitIndex);
    return this.tracker.ageMs(this.ctx.clock.now());
  }

  /** Milliseconds since a leader last confirmed any state to this VM, Infinity if that never happened. */
  public leaderAgeMs(): number {
    return this.tracker.arrivalAgeMs(this.ctx.clock.now());
  }

  /** The leader, if it is this VM or has confirmed its leadership to it recently. */
  public reachableLeader(): Member | undefined {
    const { role, leader, self } = this.ctx.log.status();
    if (role === 'leader') return self;
    const isRecent = this.confirmedBy === leader?.vm && this.leaderAgeMs() < LEADER_TIMEOUT_MS;
    return isRecent ? leader : undefined;
  }

  /** What this VM has confirmed as leader, for the others. */
  public ownConfirmation(): LeaderConfirmation {
    const isLeader = this.ctx.log.status().role === 'leader';
    if (!isLeader || this.own === undefined) return { isLeader, index: undefined, ageMs: 0 };
    return { isLeader, index: this.own.index, ageMs: this.ctx.clock.now() - this.own.at };
  }

  private tick(): void {
    const now = this.ctx.clock.now();
    const isFirst = this.confirmedAgeMs() === Infinity;
    const isDue = isFirst || now - this.askedAt >= CONFIRM_INTERVAL_MS - FIRST_INTERVAL_MS / 2;
    if (this.isAsking || !isDue) return;
    this.isAsking = true;
    this.askedAt = now;
    this.ask(now)
      .catch((err: unknown) => {
        this.ctx.logger.debug('state was not confirmed', { error: String(err) });
      })
      .finally(() => {
        this.isAsking = false;
      });
  }

  private ask(askedAt: number): Promise<void> {
    const { role, leader } = this.ctx.log.status();
    if (role === 'leader') return this.askMajority(askedAt);
    this.own = undefined;
    return leader === undefined ? Promise.resolve() : this.askLeader(leader, askedAt);
  }

  private async askMajority(askedAt: number): Promise<void> {
    const { log } = this.ctx;
    const read = await log.confirmRead();
    if (read.kind !== 'confirmed') return;
    this.own = { index: read.index, at: askedAt };
    this.record(log.status().self.vm, read.index, askedAt);
  }

  /** The answer counts from when it was asked for, so that a slow one does not make the state appear newer. */
  private async askLeader(leader: Member, askedAt: number): Promise<void> {
    const client = this.ctx.clientOf(leader.address);
    const res = await client.confirm({}, { timeoutMs: ASK_TIMEOUT_MS });
    if (!res.isLeader || res.index === undefined) return;
    this.record(leader.vm, Number(res.index), askedAt - res.ageMs);
  }

  private record(vm: string, index: number, at: number): void {
    const { clock, log } = this.ctx;
    this.tracker.record(index, at, log.status().commitIndex, clock.now());
    this.confirmedBy = vm;
  }
}
