/**
 * Confirms the state of the replicated log of this VM: a leader by the answers of a majority of the voters, the others by
 * asking the leader. Only log processes take part, so that a busy hub delays none of it.
 */
import type { Client } from '@connectrpc/connect';
import { setPeriodic, type Clock } from '@marigoldbank/base/clock';
import { Emitter } from '@marigoldbank/base/events';
import { DisposableStore } from '@marigoldbank/base/lifecycle';
import type { Logger } from '@marigoldbank/daemon/telemetry/Logger';
import type {
  ConfirmResponse,
  LogService,
} from '@marigoldbank/protocol/gen/marigoldbank/v1/log_pb';
import type { IReplicatedLog, Member } from '@marigoldbank/replicated-log';
import type { DirectoryClient } from '../sync/DirectoryClient.js';
import { ConfirmationTracker } from './ConfirmationTracker.js';

/**
 * Interval at which a VM asks the leader. Hubs and entries without a recent confirmation consider their state late after
 * 1.3 s. Each request costs the leader processor time.
 */
const ASK_INTERVAL_MS = 200;

/** Interval before the first confirmation: until then, entries without a plan cannot serve. */
const FIRST_INTERVAL_MS = 40;

/**
 * Answers come after the next heartbeat, within 0.15 s unless the leader is busy, frozen or cut off. One that comes late still
 * counts, from when it was asked for, so a question is repeated after 0.3 s only once: more would keep a busy leader busy.
 */
const REPEAT_MS = 300;
const MAX_UNANSWERED = 2;
const ASK_TIMEOUT_MS = 1_000;

/** A connection to a leader without processor time may take seconds. */
const CONNECT_TIMEOUT_MS = 10_000;

export interface ConfirmationContext {
  readonly clock: Clock;
  readonly log: Pick<IReplicatedLog, 'status' | 'confirmedState' | 'confirmReadByHeartbeat'>;
  readonly logger: Logger;
  readonly datagrams: Pick<DirectoryClient, 'confirmLeadership'>;
  readonly clientOf: (address: string) => Pick<Client<typeof LogService>, 'confirm'>;
}

export class StateConfirmation extends DisposableStore {
  private readonly tracker = new ConfirmationTracker();

  private readonly confirmEmitter = new Emitter<void>();

  /** Fires when a leader has confirmed the state of this VM. */
  public readonly onDidConfirm = this.confirmEmitter.event;

  private askedAt = -Infinity;

  /** Leader that was asked last, and the questions to it without an answer. */
  private asked = { vm: '', unanswered: 0 };

  private loggedState = '';

  public constructor(private readonly ctx: ConfirmationContext) {
    super();
    this.add(setPeriodic(ctx.clock, () => this.tick(), FIRST_INTERVAL_MS));
  }

  /** Milliseconds since a majority confirmed the state of this VM, Infinity if that never happened. */
  public confirmedAgeMs(): number {
    this.update();
    return this.tracker.ageMs(this.ctx.clock.now());
  }

  /** Milliseconds since a leader last confirmed any state to this VM, Infinity if that never happened. */
  public leaderAgeMs(): number {
    this.update();
    return this.tracker.arrivalAgeMs(this.ctx.clock.now());
  }

  /** Last committed index if this VM leads, confirmed by answers to messages that it sends after the call. */
  public async confirmLeadership(): Promise<number | undefined> {
    const read = await this.ctx.log.confirmReadByHeartbeat();
    return read.kind === 'confirmed' ? read.index : undefined;
  }

  /** Takes new commits and, as leader, the answers of the voters into account. */
  private update(): void {
    const { log } = this.ctx;
    const { commitIndex } = log.status();
    const confirmed = log.confirmedState();
    if (confirmed === undefined) this.tracker.advance(commitIndex);
    else this.record(confirmed.index, confirmed.at, confirmed.at);
  }

  private tick(): void {
    const now = this.ctx.clock.now();
    const isFirst = this.confirmedAgeMs() === Infinity;
    const isDue = isFirst || now - this.askedAt >= ASK_INTERVAL_MS - FIRST_INTERVAL_MS / 2;
    this.logChanges();
    const { role, leader } = this.ctx.log.status();
    if (!isDue || role === 'leader' || leader === undefined) return;
    if (this.asked.vm !== leader.vm) {
      this.asked = { vm: leader.vm, unanswered: 0 };
      this.connect(leader);
    }
    const { asked } = this;
    const isRepeated = asked.unanswered > 0;
    if (isRepeated && (asked.unanswered >= MAX_UNANSWERED || now - this.askedAt < REPEAT_MS)) {
      return;
    }
    asked.unanswered += 1;
    this.askedAt = now;
    this.askLeader(leader, now, isRepeated)
      .catch((err: unknown) => {
        this.ctx.logger.debug('state was not confirmed', { error: String(err) });
      })
      .finally(() => {
        asked.unanswered -= 1;
      });
  }

  /**
   * Asks a new leader by a call as well, which opens the connection for later calls: changes that are forwarded would wait for it
   * while the leader has much to do.
   */
  private connect({ vm, address }: Member): void {
    this.ctx
      .clientOf(address)
      .confirm({}, { timeoutMs: CONNECT_TIMEOUT_MS })
      .catch((err: unknown) => {
        this.ctx.logger.info('no connection to the leader', { leader: vm, error: String(err) });
      });
  }

  /** Elections and changes of the voters explain calls without an answer, and hubs that are not confirmed. */
  private logChanges(): void {
    const { role, term, leader, membership } = this.ctx.log.status();
    const voters = membership.voters.map(({ vm }) => vm).join(',');
    const state = [role, term, leader?.vm, voters].join(' ');
    if (state === this.loggedState) return;
    this.loggedState = state;
    this.ctx.logger.info('state of the log changed', {
      role,
      term,
      leader: leader?.vm ?? '',
      voters,
    });
  }

  /** The answer counts from when it was asked for, so that a slow one does not make the state appear newer. */
  private async askLeader(leader: Member, askedAt: number, isRepeated: boolean): Promise<void> {
    const res = await this.requestConfirmation(leader.address, isRepeated);
    if (!res.isLeader || res.index === undefined) return;
    this.record(Number(res.index), askedAt, this.ctx.clock.now());
    this.confirmEmitter.fire();
  }

  /**
   * Asks by a datagram, which costs both sides a fifth of a call. Calls are for datagrams that stay without an answer, and for a
   * leader of the release before, which does not confirm by them.
   */
  private async requestConfirmation(
    address: string,
    isRepeated: boolean,
  ): Promise<Pick<ConfirmResponse, 'isLeader' | 'index'>> {
    const { datagrams, clientOf } = this.ctx;
    const answer = isRepeated
      ? 'unsupported'
      : await datagrams.confirmLeadership(address, ASK_TIMEOUT_MS);
    if (answer !== 'unsupported') return answer ?? { isLeader: false };
    return clientOf(address).confirm({}, { timeoutMs: ASK_TIMEOUT_MS });
  }

  private record(index: number, at: number, arrivedAt: number): void {
    this.tracker.record(index, at, this.ctx.log.status().commitIndex, arrivedAt);
  }
}
