/** Follows the replicated log of this VM, which runs in another process. */
import type { Client } from '@connectrpc/connect';
import { delay, type Clock } from '@marigoldbank/base/clock';
import { Emitter } from '@marigoldbank/base/events';
import { DisposableStore } from '@marigoldbank/base/lifecycle';
import type { Logger } from '@marigoldbank/daemon/telemetry/Logger';
import type { LogService, WatchResponse } from '@marigoldbank/protocol/gen/marigoldbank/v1/log_pb';
import type { Announcement } from '../announcement.js';
import type { HubCandidate } from '../sync/HubCandidate.js';
import type { ILogView } from './LogView.js';
import type { PlanStateMachine } from './PlanStateMachine.js';
import type { ServiceSlotsInit } from './SlotTable.js';
import { toAnnouncement } from './targets-codec.js';

/** Longest time for which the log process keeps a request in which nothing is new. */
const MAX_WAIT_MS = 300;

/** A busy hub may read an answer late. A shorter time limit would discard answers that have arrived. */
const ANSWER_TIMEOUT_MS = 3_000;

const RETRY_MS = 50;

/** A VM whose log process has not answered for longer does not count as leader any more. */
const OWN_LEADERSHIP_MS = 1_000;

/** Another leader is forgotten after this time without an answer of the log process. */
const LEADER_MEMORY_MS = 2_000;

/** A hub whose log process has not been reached for longer is of no use to entries. */
export const LOG_TIMEOUT_MS = 500;

/** An announcement that this VM has received, and when (monotonic ms). */
export interface ReceivedAnnouncement {
  readonly announcement: Announcement;
  readonly receivedAt: number;
}

export interface LogFollowerContext {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly stateMachine: PlanStateMachine;
  readonly client: Pick<Client<typeof LogService>, 'watch'>;
  /** The hubs that are known here, this one first. The log process names them to entries. */
  readonly hubs: () => readonly HubCandidate[];
  /** Slots of all targets that are known here. */
  readonly slots?: () => readonly ServiceSlotsInit[];
}

export class LogFollower extends DisposableStore implements ILogView {
  private readonly announceEmitter = new Emitter<ReceivedAnnouncement>();

  public readonly onDidAnnounce = this.announceEmitter.event;

  private state: WatchResponse | undefined;

  /** Time at which the newest answer was true at the latest. */
  private trueAt = -Infinity;

  private confirmed = -Infinity;

  private leaderSeen = -Infinity;

  /** Arrival of the newest answer. */
  private answeredAt = -Infinity;

  /** Time since which no request was answered, undefined if the last one was. */
  private failedSince: number | undefined;

  public constructor(private readonly ctx: LogFollowerContext) {
    super();
  }

  public get answerDelayMs(): number {
    return this.state === undefined ? 0 : this.answeredAt - this.trueAt;
  }

  public get isAnswering(): boolean {
    if (this.state === undefined || this.failedSince === undefined) return true;
    return this.ctx.clock.now() - this.failedSince < LOG_TIMEOUT_MS;
  }

  public get isLeader(): boolean {
    const isRecent = this.ctx.clock.now() - this.trueAt < OWN_LEADERSHIP_MS;
    return isRecent && this.failedSince === undefined && (this.state?.isLeader ?? false);
  }

  public get leader(): string | undefined {
    const isRecent = this.ctx.clock.now() - this.trueAt < LEADER_MEMORY_MS;
    return isRecent && this.state?.leader !== '' ? this.state?.leader : undefined;
  }

  public get voters(): readonly string[] {
    return this.state?.voters ?? [];
  }

  public get confirmedAt(): number {
    return this.confirmed;
  }

  public get leaderSeenAt(): number {
    return this.leaderSeen;
  }

  /** Requests one answer after the other until disposed. */
  public async run(): Promise<void> {
    while (!this.isDisposed) {
      const isAnswered = await this.request();
      if (!isAnswered) await delay(this.ctx.clock, RETRY_MS);
    }
  }

  private async request(): Promise<boolean> {
    const { clock, logger, client } = this.ctx;
    const askedAt = clock.now();
    try {
      const res = await client.watch(
        {
          lifetime: this.state?.lifetime ?? '',
          afterIndex: this.state?.index ?? 0n,
          afterAnnouncement: this.state?.announcement ?? 0n,
          maxWaitMs: MAX_WAIT_MS,
          hubs: [...this.ctx.hubs()],
          slots: [...(this.ctx.slots?.() ?? [])],
        },
        { timeoutMs: ANSWER_TIMEOUT_MS },
      );
      this.apply(res, askedAt);
      if (this.failedSince !== undefined) logger.info('the log is followed again');
      this.failedSince = undefined;
      return true;
    } catch (err) {
      if (this.failedSince === undefined) {
        logger.warn('the log cannot be followed', { error: String(err) });
      }
      this.failedSince ??= clock.now();
      return false;
    }
  }

  /** The answer counts from when it was asked for and not from its arrival, so that it does not appear newer. */
  private apply(res: WatchResponse, askedAt: number): void {
    const { clock, stateMachine } = this.ctx;
    const now = clock.now();
    if (res.snapshot !== undefined) stateMachine.restore(res.snapshot);
    res.commands.forEach(({ index, data }) => stateMachine.apply(Number(index), data));
    // Set only now, so that commands that could not be applied are requested again.
    this.state = res;
    this.answeredAt = now;
    this.trueAt = askedAt + res.waitedMs;
    const { confirmedAgeMs, leaderAgeMs } = res;
    if (confirmedAgeMs !== undefined) {
      this.confirmed = Math.max(this.confirmed, this.trueAt - confirmedAgeMs);
    }
    if (leaderAgeMs !== undefined) {
      this.leaderSeen = Math.max(this.leaderSeen, now - leaderAgeMs);
    }
    res.announcements.forEach((target) =>
      this.announceEmitter.fire({
        announcement: toAnnouncement(target),
        receivedAt: now - target.ageMs,
      }),
    );
  }
}
