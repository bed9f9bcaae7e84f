/** Follows one hub at a time and applies its updates to the state of the entry. */
import { fromBinary } from '@bufbuild/protobuf';
import type { Client } from '@connectrpc/connect';
import { delay, setPeriodic, type Clock } from '@marigoldbank/base/clock';
import { DisposableStore } from '@marigoldbank/base/lifecycle';
import type { Logger } from '@marigoldbank/daemon/telemetry/Logger';
import {
  HubUpdateSchema,
  type HubUpdate,
  type SyncService,
  type Target,
  type TargetEvidence,
} from '@marigoldbank/protocol/gen/marigoldbank/v1/sync_pb';
import { decodePlanChanges } from '@marigoldbank/routing/plan-items';
import type { TargetOutcome } from '@marigoldbank/routing/TargetBelief';
import { hubConfirmedAge } from '../metrics.js';
import { decodeEvidenceBatch } from '../sync/evidence-batch.js';
import { TargetRefs } from '../sync/TargetRefs.js';
import { MessageQueue } from '../sync/MessageQueue.js';
import { trueSince } from '../sync/timeEcho.js';
import type { EntryState } from './EntryState.js';
import type { HubSelector } from './HubSelector.js';
import { HubSwitchPolicy } from './HubSwitchPolicy.js';
import type { EntryReportInit, HubReporter } from './HubReporter.js';

const RECONNECT_MS = 20;

const CHECK_MS = 150;

/** Interval of reports to the hub, which drops an entry that sends nothing for 3 s. */
const HEARTBEAT_MS = 800;

const PERMILLE = 1_000;

const MS_PER_SECOND = 1_000;

export interface FollowerContext {
  readonly clock: Clock;
  readonly state: EntryState;
  readonly reporter: HubReporter;
  readonly hubs: HubSelector;
  readonly logger: Logger;
  readonly identity: {
    readonly vm: string;
    readonly address: string;
    readonly dataCentre: string;
  };
  readonly seeds: () => readonly string[];
  readonly clientOf: (address: string) => Client<typeof SyncService>;
}

interface HubStream {
  readonly address: string;
  readonly abort: AbortController;
  /** Time of the first message. */
  firstMessageAt: number | undefined;
  lastMessageAt: number;
  /** Targets that the hub has sent. */
  readonly targetIds: Set<string>;
  /** Whether the hub is known to have sent all targets. */
  hasAllTargets: boolean;
}

/** Adds what the snapshot of a first update contains. */
function withSnapshot(update: HubUpdate): HubUpdate {
  if (update.snapshot.length === 0) return update;
  const { targets, beliefs, evidenceBatch } = fromBinary(HubUpdateSchema, update.snapshot);
  return { ...update, targets, beliefs, evidenceBatch };
}

export class HubFollower extends DisposableStore {
  private stream: HubStream | undefined;

  private readonly switchPolicy: HubSwitchPolicy;

  /** Numbers of the targets in the evidence batches of the hub. */
  private readonly refs = new TargetRefs();

  /** Number of this entry in the evidence batches of the hub. */
  private entryRef = 0;

  public constructor(private readonly ctx: FollowerContext) {
    super();
    this.switchPolicy = new HubSwitchPolicy(ctx.state.random);
    this.add(setPeriodic(ctx.clock, () => this.check(), CHECK_MS));
    this.add(setPeriodic(ctx.clock, () => ctx.reporter.flush(), HEARTBEAT_MS));
  }

  /** Follows one hub after the other until disposed. */
  public async run(): Promise<void> {
    const { clock, hubs, state } = this.ctx;
    while (!this.isDisposed) {
      const address = hubs.next(clock.now(), state.random.float());
      if (address !== undefined) await this.follow(address);
      await delay(clock, RECONNECT_MS);
    }
  }

  public override dispose(): void {
    super.dispose();
    this.stream?.abort.abort();
  }

  private async follow(address: string): Promise<void> {
    const { clock, state, reporter, hubs, logger, identity, clientOf } = this.ctx;
    const now = clock.now();
    const abort = new AbortController();
    const stream: HubStream = {
      address,
      abort,
      firstMessageAt: undefined,
      lastMessageAt: now,
      targetIds: new Set(),
      hasAllTargets: false,
    };
    const queue = new MessageQueue<EntryReportInit>();
    this.stream = stream;
    this.switchPolicy.startFollowing();
    const planVersion = BigInt(state.planVersion);
    const { entryCount } = state;
    queue.push({
      hello: identity,
      isReady: reporter.isReady,
      planVersion,
      sentAtMs: now,
      entryCount,
    });
    try {
      const updates = clientOf(address).follow(queue, { signal: abort.signal });
      const iterator = updates[Symbol.asyncIterator]();
      let next = await iterator.next();
      logger.info('hub is followed', { hub: address });
      reporter.attach((report) => queue.push(report));
      while (next.done !== true && !abort.signal.aborted) {
        this.applyUpdate(stream, next.value);
        next = await iterator.next();
      }
    } catch (err) {
      hubs.recordFailure(address, clock.now());
      const level = stream.firstMessageAt === undefined ? 'debug' : 'warn';
      logger.log(level, 'stream of the hub ended', { hub: address, error: String(err) });
    }
    reporter.detach();
    queue.end();
    abort.abort();
  }

  /** Leaves the hub if it is silent, may have stale state, or if another one is better. */
  private check(): void {
    const { clock, state, hubs, logger } = this.ctx;
    const { stream } = this;
    const now = clock.now();
    const confirmedAgeMs = state.confirmedAgeMs(now);
    hubConfirmedAge.set(confirmedAgeMs / MS_PER_SECOND);
    if (stream === undefined || stream.abort.signal.aborted) return;
    const { firstMessageAt, lastMessageAt } = stream;
    const { isLeaderless } = state;
    const betterHubReason = hubs.reasonForBetterHub(stream.address, now);
    const reason = this.switchPolicy.reasonToLeave(
      {
        firstMessageAt,
        lastMessageAt,
        confirmedAgeMs,
        isLeaderless,
        betterHubReason,
        hasPlan: state.planVersion > 0,
      },
      now,
    );
    if (reason === undefined) return;
    logger.info('hub is left', {
      hub: stream.address,
      silentMs: Math.round(now - stream.lastMessageAt),
      confirmedAgeMs: Math.round(Math.min(confirmedAgeMs, Number.MAX_SAFE_INTEGER)),
      isLeaderless,
      isCutOff: state.isCutOff,
      reason,
    });
    if (reason === 'unconfirmed' && state.isCutOff) hubs.recordCutOff(stream.address, now);
    else if (reason === 'silent' || reason === 'unconfirmed') {
      hubs.recordFailure(stream.address, now);
    }
    stream.abort.abort();
  }

  private applyUpdate(stream: HubStream, message: HubUpdate): void {
    const update = withSnapshot(message);
    const { clock, state, hubs, reporter, seeds } = this.ctx;
    const now = clock.now();
    Object.assign(stream, { lastMessageAt: now });
    if (update.status !== undefined) {
      const planVersion = Number(update.status.planVersion);
      const trueAt = trueSince(update.status.echo, now);
      if (trueAt !== undefined) state.setStatus({ ...update.status, planVersion, trueAt });
    }
    if (update.hubs.length > 0) hubs.setHubs(update.hubs, seeds(), now);
    if (update.plan !== undefined) {
      const { fromVersion, version, changes } = update.plan;
      state.applyPlan(Number(fromVersion), Number(version), decodePlanChanges(changes));
      this.ctx.logger.info('plan in force', { version: state.planVersion });
    }
    if (stream.firstMessageAt === undefined) {
      state.targets.all().forEach((target) => Object.assign(target, { othersInFlight: 0 }));
      Object.assign(stream, { firstMessageAt: now });
      this.refs.clear();
      this.entryRef = update.entryRef;
    }
    this.applyTargets(stream, update, now);
    update.beliefs.forEach(({ id, failingProbability }) =>
      state.targets.get(id)?.belief.adopt(failingProbability, now),
    );
    update.evidence.forEach((item) => this.applyEvidence(item, now));
    if (update.evidenceBatch.length > 0) this.applyEvidenceBatch(update.evidenceBatch, now);
    update.teams.forEach(({ team, isTight }) => state.teamLimiter.setTight(team, isTight));
    update.tokens.forEach(({ id, isGranted, retryAfterMs }) =>
      reporter.resolveToken(
        id,
        isGranted ? { kind: 'granted' } : { kind: 'refused', retryAfterMs },
      ),
    );
    update.retries.forEach(({ service, usedPermille }) =>
      state.retryLimiter.setFleetUse(service, usedPermille / PERMILLE, now),
    );
    if (update.fleet !== undefined) {
      const { isWhole, named, dropped } = update.fleet;
      if (isWhole) state.addresses.replace(named, now);
      else state.addresses.add(named);
      state.addresses.remove(dropped);
    }
    if (update.isLeaving) {
      hubs.recordFailure(stream.address, now);
      stream.abort.abort();
    }
  }

  private applyTargets(stream: HubStream, update: HubUpdate, now: number): void {
    const { targets } = this.ctx.state;
    update.targets.forEach((target) => {
      stream.targetIds.add(target.id);
      this.applyTarget(target, now);
    });
    update.removedTargets.forEach((id) => {
      stream.targetIds.delete(id);
      targets.remove(id);
      this.refs.remove(id);
    });
    // After a restart of all hubs the entry would lose nearly all targets, and overload the few that it is told of.
    if (stream.hasAllTargets || this.ctx.state.isHubStarting) return;
    Object.assign(stream, { hasAllTargets: true });
    targets.retainOnly(stream.targetIds);
  }

  private applyTarget(target: Target, now: number): void {
    const { id, address, service, dataCentre, slots, isDraining, coldMs, ref } = target;
    this.refs.set(id, ref);
    this.ctx.state.targets.upsert(
      { id, address, service, dataCentre, slots, isDraining, coldMs },
      now,
    );
  }

  private applyEvidenceBatch(batch: Uint8Array, now: number): void {
    const { targets } = this.ctx.state;
    decodeEvidenceBatch(batch).forEach(({ ref, entryRef, inFlight, ...outcomes }) => {
      const id = this.refs.idOf(ref);
      const target = id === undefined ? undefined : targets.get(id);
      if (id === undefined || target === undefined) return;
      const othersInFlight = Math.max(0, inFlight - target.ownInFlight);
      if (entryRef === this.entryRef) target.othersInFlight = othersInFlight;
      else this.applyEvidence({ id, inFlight: othersInFlight, ...outcomes }, now);
    });
  }

  private applyEvidence(item: Omit<TargetEvidence, '$typeName'>, now: number): void {
    const { targets } = this.ctx.state;
    const target = targets.get(item.id);
    if (target === undefined) return;
    const observe = (outcome: TargetOutcome, count: number): void =>
      Array.from({ length: count }).forEach(() => targets.observe(item.id, outcome, now));
    // A rise shows that another entry has started a request.
    if (item.inFlight > target.othersInFlight) target.lastTriedAt = now;
    target.othersInFlight = item.inFlight;
    observe('succeeded', item.succeeded);
    observe('suspect', item.suspect);
    observe('failed', item.failed);
  }
}
