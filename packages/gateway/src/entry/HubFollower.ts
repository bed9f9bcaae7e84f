/** Follows one hub at a time, and moves to another one while the first still serves the entry. */
import type { Client } from '@connectrpc/connect';
import { delay, setPeriodic, type Clock } from '@marigoldbank/base/clock';
import { DisposableStore } from '@marigoldbank/base/lifecycle';
import type { Logger } from '@marigoldbank/daemon/telemetry/Logger';
import type { HubUpdate, SyncService } from '@marigoldbank/protocol/gen/marigoldbank/v1/sync_pb';
import { hubConfirmedAge } from '../metrics.js';
import { MessageQueue } from '../sync/MessageQueue.js';
import { toVersionField } from '../sync/plan-version.js';
import type { EntryExtension } from './EntryExtension.js';
import type { EntryState } from './EntryState.js';
import type { HubLocator } from './HubLocator.js';
import type { HubSelector } from './HubSelector.js';
import type { HubStream } from './HubStream.js';
import { HubSwitchPolicy, isSilent, type LeaveReason } from './HubSwitchPolicy.js';
import { HubUpdateApplier } from './HubUpdateApplier.js';
import type { HubReporter } from './HubReporter.js';

const RECONNECT_MS = 20;

const CHECK_MS = 150;

/** Interval of reports to the hub, which drops an entry that sends nothing for 3 s. */
const HEARTBEAT_MS = 800;

/** Minimum time to the next attempt to move after one that failed: the other hubs are most likely late as well. */
const MOVE_RETRY_MS = 2_000;

/** Time for a plan to arrive that the hub has confirmed. Control VMs are asked for it well before. */
const BEHIND_MS = 3_000;

const MS_PER_SECOND = 1_000;

export interface FollowerContext {
  readonly clock: Clock;
  readonly state: EntryState;
  readonly reporter: HubReporter;
  readonly hubs: HubSelector;
  /** Parts that read updates of the hub. */
  readonly extensions?: readonly EntryExtension[];
  readonly logger: Logger;
  readonly identity: {
    readonly vm: string;
    readonly address: string;
    readonly dataCentre: string;
  };
  readonly seeds: () => readonly string[];
  readonly locator: Pick<HubLocator, 'locate'>;
  /** Address of the log process of the VM of a hub. */
  readonly logAddressOf: (hub: string) => string;
  readonly clientOf: (address: string) => Client<typeof SyncService>;
}

export class HubFollower extends DisposableStore {
  /** The stream whose updates are applied. */
  private stream: HubStream | undefined;

  /** A stream whose hub has not answered yet. It replaces `stream` with its first message. */
  private candidate: HubStream | undefined;

  /** Called when there is neither a stream nor a candidate any more. */
  private onUnfollowed: (() => void) | undefined;

  private nextMoveAt = -Infinity;

  /** Since when the hub has confirmed a plan that the entry does not have, undefined if it does not. */
  private behindSince: number | undefined;

  private readonly switchPolicy: HubSwitchPolicy;

  private readonly applier: HubUpdateApplier;

  public constructor(private readonly ctx: FollowerContext) {
    super();
    this.applier = new HubUpdateApplier(ctx);
    this.switchPolicy = new HubSwitchPolicy(ctx.state.random);
    this.add(setPeriodic(ctx.clock, () => this.check(), CHECK_MS));
    this.add(setPeriodic(ctx.clock, () => ctx.reporter.flush(), HEARTBEAT_MS));
  }

  /** Follows one hub after the other until disposed. */
  public async run(): Promise<void> {
    const { clock, hubs, state } = this.ctx;
    while (!this.isDisposed) {
      await this.locate();
      const address = hubs.next(clock.now(), state.random.float());
      if (address !== undefined) {
        const unfollowed = new Promise<void>((resolve) => {
          this.onUnfollowed = resolve;
        });
        this.open(address);
        await unfollowed;
      }
      await delay(clock, RECONNECT_MS);
    }
  }

  public override dispose(): void {
    super.dispose();
    this.stream?.abort.abort();
    this.candidate?.abort.abort();
  }

  /** Learns which hubs there are, and which one to follow. Without an answer the entry goes on with those it knows. */
  private async locate(): Promise<void> {
    const { clock, hubs, locator, logAddressOf, seeds } = this.ctx;
    const located = await locator.locate(hubs.addresses.map(logAddressOf));
    if (located !== undefined) hubs.assign(located.hubs, seeds(), clock.now());
  }

  private open(address: string): void {
    const { clock, state, reporter, identity } = this.ctx;
    const now = clock.now();
    const stream: HubStream = {
      address,
      abort: new AbortController(),
      reports: new MessageQueue(),
      planVersion: state.planVersion,
      openedAt: now,
      firstMessageAt: undefined,
      lastMessageAt: now,
      targetIds: new Set(),
      hasAllTargets: false,
    };
    const { entryCount } = state;
    stream.reports.push({
      hello: identity,
      isReady: reporter.isReady,
      planVersion: toVersionField(stream.planVersion),
      sentAtMs: now,
      entryCount,
      hasOtherHub: this.stream !== undefined,
      canWait: true,
    });
    this.candidate = stream;
    this.read(stream).catch((err: unknown) =>
      this.ctx.logger.error('stream of the hub failed', { hub: address, error: String(err) }),
    );
  }

  /** Applies the updates of a hub until its stream ends. */
  private async read(stream: HubStream): Promise<void> {
    const { clock, reporter, hubs, logger, clientOf } = this.ctx;
    const { address, abort } = stream;
    try {
      const updates = clientOf(address).follow(stream.reports, { signal: abort.signal });
      const iterator = updates[Symbol.asyncIterator]();
      let next = await iterator.next();
      while (next.done !== true && !abort.signal.aborted) {
        if (next.value.isWaiting) this.keepWaiting(stream, next.value);
        else {
          if (this.candidate === stream) this.startFollowing(stream);
          if (this.stream !== stream) break;
          this.applier.apply(stream, next.value);
        }
        next = await iterator.next();
      }
    } catch (err) {
      hubs.recordFailure(address, clock.now());
      if (this.candidate === stream) this.postponeMove(clock.now());
      const level = stream.firstMessageAt === undefined ? 'debug' : 'warn';
      logger.log(level, 'stream of the hub ended', { hub: address, error: String(err) });
    }
    if (this.stream === stream) {
      this.stream = undefined;
      reporter.detach();
    }
    if (this.candidate === stream) this.endCandidate(stream);
    stream.reports.end();
    abort.abort();
    if (this.stream === undefined && this.candidate === undefined) this.onUnfollowed?.();
  }

  /** Notes that the hub has no time for the stream yet, and the hubs that it knows. */
  private keepWaiting(stream: HubStream, { hubs }: HubUpdate): void {
    const now = this.ctx.clock.now();
    Object.assign(stream, { lastMessageAt: now });
    if (this.stream === undefined) this.ctx.hubs.setHubs(hubs, this.ctx.seeds(), now);
  }

  /** Replaces the followed stream by the candidate, whose first message has arrived. */
  private startFollowing(stream: HubStream): void {
    const { reporter, logger } = this.ctx;
    const { address } = stream;
    const previous = this.stream;
    this.stream = stream;
    this.candidate = undefined;
    previous?.abort.abort();
    this.switchPolicy.startFollowing();
    logger.info('hub is followed', { hub: address });
    reporter.attach((report) => stream.reports.push(report));
  }

  private endCandidate(stream: HubStream): void {
    this.candidate = undefined;
    stream.abort.abort();
  }

  /** Leaves the hub if it is silent, may have stale state, or if another one is better. */
  private check(): void {
    const { clock, state } = this.ctx;
    const now = clock.now();
    hubConfirmedAge.set(state.confirmedAgeMs(now) / MS_PER_SECOND);
    if (this.candidate !== undefined) this.checkCandidate(this.candidate, now);
    const { stream } = this;
    if (stream === undefined) state.targets.forgetOthers();
    if (stream === undefined || stream.abort.signal.aborted) return;
    this.checkPlan(stream, now);
    const reason = this.reasonToLeave(stream, now);
    if (reason === undefined) return;
    if (reason === 'silent' || state.isCutOff) this.leave(stream, reason, now);
    else if (this.candidate === undefined && now >= this.nextMoveAt) this.move(stream, reason, now);
  }

  /**
   * Opens the stream anew if the plan that its hub confirms does not arrive: the changes that the hub sent do not fit the
   * plan in effect, and no other control VM has sent those that do, such as one of an older release.
   */
  private checkPlan(stream: HubStream, now: number): void {
    const { state, logger } = this.ctx;
    if (state.hasConfirmedPlan) this.behindSince = undefined;
    else this.behindSince ??= now;
    if (this.behindSince === undefined || now - this.behindSince < BEHIND_MS) return;
    this.behindSince = undefined;
    logger.warn('the plan of the hub does not arrive', { hub: stream.address });
    stream.abort.abort();
  }

  /** Gives a candidate up that does not answer. */
  private checkCandidate(candidate: HubStream, now: number): void {
    const { state, hubs, logger } = this.ctx;
    const hasPlan = state.planVersion !== undefined;
    if (!isSilent(candidate.lastMessageAt, !hasPlan, now)) return;
    logger.info('hub does not answer', { hub: candidate.address });
    hubs.recordFailure(candidate.address, now);
    this.postponeMove(now);
    this.endCandidate(candidate);
  }

  private postponeMove(now: number): void {
    this.nextMoveAt = now + MOVE_RETRY_MS * (1 + this.ctx.state.random.float());
  }

  private reasonToLeave(stream: HubStream, now: number): LeaveReason | undefined {
    const { state, hubs } = this.ctx;
    const { address, firstMessageAt, lastMessageAt } = stream;
    return this.switchPolicy.reasonToLeave(
      {
        firstMessageAt,
        lastMessageAt,
        confirmedAgeMs: state.confirmedAgeMs(now),
        isLeaderless: state.isLeaderless,
        isCutOff: state.isCutOff,
        hasAlternative: hubs.hasAlternative(address, now),
        betterHubReason: hubs.reasonForBetterHub(address, now),
        hasPlan: state.planVersion !== undefined,
        isStarting: state.isHubStarting,
      },
      now,
    );
  }

  /** Leaves a hub that is of no use any more. The next one is selected afterwards. */
  private leave(stream: HubStream, reason: LeaveReason, now: number): void {
    const { state, hubs } = this.ctx;
    this.log('hub is left', stream, reason, now);
    if (reason === 'unconfirmed' && state.isCutOff) hubs.recordCutOff(stream.address, now);
    else hubs.recordFailure(stream.address, now);
    if (reason === 'unconfirmed') this.switchPolicy.recordUnconfirmed();
    stream.abort.abort();
  }

  /** Opens a stream to another hub and follows the current one until that answers. */
  private move(stream: HubStream, reason: LeaveReason, now: number): void {
    const { state, hubs } = this.ctx;
    const address = hubs.next(now, state.random.float(), stream.address);
    if (address === undefined) return;
    this.log('another hub is tried', stream, reason, now);
    if (reason === 'unconfirmed') {
      hubs.recordFailure(stream.address, now);
      this.switchPolicy.recordUnconfirmed();
    }
    this.open(address);
  }

  private log(message: string, stream: HubStream, reason: LeaveReason, now: number): void {
    const { state, logger } = this.ctx;
    const confirmedAgeMs = Math.min(state.confirmedAgeMs(now), Number.MAX_SAFE_INTEGER);
    logger.info(message, {
      hub: stream.address,
      silentMs: Math.round(now - stream.lastMessageAt),
      confirmedAgeMs: Math.round(confirmedAgeMs),
      isLeaderless: state.isLeaderless,
      isCutOff: state.isCutOff,
      reason,
    });
  }
}
