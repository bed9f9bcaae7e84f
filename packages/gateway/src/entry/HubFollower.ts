/** Follows one hub and keeps the entry's blackboard up to date. */
import type { Client } from '@connectrpc/connect';
import { delay, setPeriodic, type Clock } from '@marigoldbank/base/clock';
import { DisposableStore } from '@marigoldbank/base/lifecycle';
import type { Logger } from '@marigoldbank/daemon/telemetry/Logger';
import type {
  HubUpdate,
  SyncService,
  Target,
  TargetEvidence,
} from '@marigoldbank/protocol/gen/marigoldbank/v1/sync_pb';
import { decodePlanChanges } from '@marigoldbank/routing/plan-items';
import type { TargetOutcome } from '@marigoldbank/routing/TargetBelief';
import { hubConfirmedAge } from '../metrics.js';
import { MessageQueue } from '../sync/MessageQueue.js';
import type { EntryBoard } from './EntryState.js';
import type { HubChoice } from './HubSelector.js';
import { HubPatience } from './HubSwitchPolicy.js';
import type { EntryReportInit, Reporter } from './Reporter.js';

const RECONNECT_MS = 20;

const CHECK_MS = 150;

/** The hub drops an entry that is silent for 3 s. */
const SIGN_OF_LIFE_MS = 800;

const PERMILLE = 1_000;

const MS_PER_SECOND = 1_000;

export interface FollowerContext {
  readonly clock: Clock;
  readonly board: EntryBoard;
  readonly reporter: Reporter;
  readonly choice: HubChoice;
  readonly logger: Logger;
  readonly identity: {
    readonly vm: string;
    readonly address: string;
    readonly dataCentre: string;
  };
  readonly seeds: () => readonly string[];
  readonly clientOf: (address: string) => Client<typeof SyncService>;
}

interface Stream {
  readonly address: string;
  readonly abort: AbortController;
  /** When the first message came. */
  followedAt: number | undefined;
  heardAt: number;
}

export class HubFollower extends DisposableStore {
  private stream: Stream | undefined;

  private readonly patience: HubPatience;

  public constructor(private readonly ctx: FollowerContext) {
    super();
    this.patience = new HubPatience(ctx.board.random);
    this.add(setPeriodic(ctx.clock, () => this.check(), CHECK_MS));
    this.add(setPeriodic(ctx.clock, () => ctx.reporter.flush(), SIGN_OF_LIFE_MS));
  }

  /** Follows hubs, one after the other, until disposed. */
  public async run(): Promise<void> {
    const { clock, choice, board } = this.ctx;
    while (!this.isDisposed) {
      const address = choice.next(clock.now(), board.random.float());
      if (address !== undefined) await this.follow(address);
      await delay(clock, RECONNECT_MS);
    }
  }

  public override dispose(): void {
    super.dispose();
    this.stream?.abort.abort();
  }

  private async follow(address: string): Promise<void> {
    const { clock, board, reporter, choice, logger, identity, clientOf } = this.ctx;
    const now = clock.now();
    const abort = new AbortController();
    const stream: Stream = { address, abort, followedAt: undefined, heardAt: now };
    const queue = new MessageQueue<EntryReportInit>();
    this.stream = stream;
    this.patience.begin();
    const planVersion = BigInt(board.version);
    queue.push({ hello: identity, isReady: reporter.isReady, planVersion });
    try {
      const updates = clientOf(address).follow(queue, { signal: abort.signal });
      const iterator = updates[Symbol.asyncIterator]();
      let next = await iterator.next();
      logger.info('hub is followed', { hub: address });
      reporter.attach((report) => queue.push(report));
      while (next.done !== true && !abort.signal.aborted) {
        this.adopt(stream, next.value);
        next = await iterator.next();
      }
    } catch (err) {
      choice.noteFailure(address, clock.now());
      const level = stream.followedAt === undefined ? 'debug' : 'warn';
      logger.log(level, 'stream of the hub ended', { hub: address, error: String(err) });
    }
    reporter.detach();
    queue.end();
    abort.abort();
  }

  /** Leaves a hub that is silent, may hold old state, or is farther than another one. */
  private check(): void {
    const { clock, board, choice, logger } = this.ctx;
    const { stream } = this;
    const now = clock.now();
    const confirmedAgeMs = board.confirmedAgeMs(now);
    hubConfirmedAge.set(confirmedAgeMs / MS_PER_SECOND);
    if (stream === undefined || stream.abort.signal.aborted) return;
    const { followedAt, heardAt } = stream;
    const { isLeaderless } = board;
    const hasNearer = choice.hasNearer(stream.address, now);
    const reason = this.patience.reasonToLeave(
      { followedAt, heardAt, confirmedAgeMs, isLeaderless, hasNearer, hasPlan: board.version > 0 },
      now,
    );
    if (reason === undefined) return;
    logger.info('hub is left', {
      hub: stream.address,
      silentMs: Math.round(now - stream.heardAt),
      confirmedAgeMs: Math.round(Math.min(confirmedAgeMs, Number.MAX_SAFE_INTEGER)),
      isLeaderless,
      reason,
    });
    if (reason !== 'far') choice.noteFailure(stream.address, now);
    stream.abort.abort();
  }

  private adopt(stream: Stream, update: HubUpdate): void {
    const { clock, board, choice, reporter, seeds } = this.ctx;
    const now = clock.now();
    Object.assign(stream, { heardAt: now });
    if (update.status !== undefined) {
      const planVersion = Number(update.status.planVersion);
      board.setStatus({ ...update.status, planVersion, receivedAt: now });
    }
    if (update.hubs.length > 0) choice.learn(update.hubs, seeds());
    if (update.plan !== undefined) {
      const { fromVersion, version, changes } = update.plan;
      board.adoptPlan(Number(fromVersion), Number(version), decodePlanChanges(changes));
      this.ctx.logger.info('plan in force', { version: board.version });
    }
    if (stream.followedAt === undefined) {
      board.targets.retainOnly(new Set(update.targets.map(({ id }) => id)));
      board.targets.all().forEach((target) => Object.assign(target, { othersInFlight: 0 }));
      Object.assign(stream, { followedAt: now });
    }
    update.targets.forEach((target) => this.adoptTarget(target, now));
    update.removedTargets.forEach((id) => board.targets.remove(id));
    update.beliefs.forEach(({ id, failingProbability }) =>
      board.targets.get(id)?.belief.adopt(failingProbability, now),
    );
    update.evidence.forEach((item) => this.adoptEvidence(item, now));
    update.teams.forEach(({ team, isTight }) => board.teams.setTight(team, isTight));
    update.tokens.forEach(({ id, isGranted, retryAfterMs }) =>
      reporter.settleToken(id, isGranted ? { kind: 'granted' } : { kind: 'refused', retryAfterMs }),
    );
    update.retries.forEach(({ service, usedPermille }) =>
      board.retries.setFleetUse(service, usedPermille / PERMILLE, now),
    );
    if (update.fleet !== undefined) {
      const { isWhole, named, dropped } = update.fleet;
      if (isWhole) board.addresses.replace(named, now);
      else board.addresses.add(named);
      board.addresses.remove(dropped);
    }
    if (update.isLeaving) {
      choice.noteFailure(stream.address, now);
      stream.abort.abort();
    }
  }

  private adoptTarget(target: Target, now: number): void {
    const { id, address, service, dataCentre, slots, isDraining, coldMs } = target;
    this.ctx.board.targets.upsert(
      { id, address, service, dataCentre, slots, isDraining, coldMs },
      now,
    );
  }

  private adoptEvidence(item: TargetEvidence, now: number): void {
    const { targets } = this.ctx.board;
    const target = targets.get(item.id);
    if (target === undefined) return;
    const observe = (outcome: TargetOutcome, count: number): void =>
      Array.from({ length: count }).forEach(() => targets.observe(item.id, outcome, now));
    if (item.inFlight > target.othersInFlight) target.lastTriedAt = now;
    target.othersInFlight = item.inFlight;
    observe('succeeded', item.succeeded);
    observe('suspect', item.suspect);
    observe('failed', item.failed);
  }
}
