/** Applies the updates of the hub that an entry follows to the state of the entry. */
import { fromBinary } from '@bufbuild/protobuf';
import {
  HubUpdateSchema,
  type HubUpdate,
  type PlanUpdate,
  type Target,
} from '@marigoldbank/protocol/gen/marigoldbank/v1/sync_pb';
import { isNewerVersion } from '@marigoldbank/routing/plan';
import { decodePlanChanges } from '@marigoldbank/routing/plan-items';
import { decodeEvidenceBatch, type EvidenceItem } from '../sync/evidence-batch.js';
import { toColdAnnouncement } from '../sync/cold-codec.js';
import { toLimitStatement } from '../sync/limit-codec.js';
import { toVersion } from '../sync/plan-version.js';
import { toSuspectStatement } from '../sync/suspect-codec.js';
import { TargetRefs } from '../sync/TargetRefs.js';
import { trueSince } from '../sync/timeEcho.js';
import type { FollowerContext } from './HubFollower.js';
import type { HubStream } from './HubStream.js';

const PERMILLE = 1_000;

type OutcomeCounts = Pick<EvidenceItem, 'succeeded' | 'failed' | 'suspect'>;

/** Adds what the snapshot of a first update contains. */
function withSnapshot(update: HubUpdate): HubUpdate {
  if (update.snapshot.length === 0) return update;
  const { targets, beliefs, evidenceBatch } = fromBinary(HubUpdateSchema, update.snapshot);
  return { ...update, targets, beliefs, evidenceBatch };
}

export class HubUpdateApplier {
  /** Numbers of the targets in the evidence batches of the hub. */
  private readonly refs = new TargetRefs();

  /** Number of this entry in the evidence batches of the hub. */
  private entryRef = 0;

  public constructor(private readonly ctx: FollowerContext) {}

  /** Applies an update of the hub that is followed. */
  public apply(stream: HubStream, message: HubUpdate): void {
    const update = withSnapshot(message);
    const { clock, state, hubs, reporter, seeds } = this.ctx;
    reporter.noteHandled(update.handledReportMs);
    const now = clock.now();
    Object.assign(stream, { lastMessageAt: now });
    if (update.status !== undefined) {
      const planVersion = toVersion(update.status.planVersion);
      const trueAt = trueSince(update.status.echo, now);
      if (trueAt !== undefined) state.setStatus({ ...update.status, planVersion, trueAt }, now);
    }
    if (update.hubs.length > 0) hubs.setHubs(update.hubs, seeds(), now);
    if (update.plan !== undefined) this.applyPlan(stream, update.plan);
    const isFirst = stream.firstMessageAt === undefined;
    if (stream.firstMessageAt === undefined) {
      state.targets.forgetOthers();
      Object.assign(stream, { firstMessageAt: now });
      this.refs.clear();
      this.entryRef = update.entryRef;
    }
    this.applyTargets(stream, update, now);
    update.beliefs.forEach(({ id, failingProbability }) =>
      state.targets.get(id)?.belief.adopt(failingProbability, now),
    );
    update.evidence.forEach((item) => this.applyEvidence(item.id, item, item.inFlight, now));
    if (update.evidenceBatch.length > 0) this.applyEvidenceBatch(update.evidenceBatch, now);
    update.limits.forEach((limit) => state.limits.note(limit.id, toLimitStatement(limit, now)));
    update.suspects.forEach((suspect) => reporter.learnSuspect(toSuspectStatement(suspect, now)));
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
    this.ctx.extensions?.forEach((extension) => extension.apply?.(update, isFirst, now));
    if (update.isLeaving) {
      hubs.recordFailure(stream.address, now);
      stream.abort.abort();
    }
  }

  /**
   * Applies a plan of the hub, unless the entry has got it from another control VM. Changes to a plan before that one do not
   * fit; the entry then asks for what it lacks, since the hub does not confirm the plan in effect any more.
   */
  private applyPlan(stream: HubStream, { fromVersion, version, changes }: PlanUpdate): void {
    const { state, logger } = this.ctx;
    const [from, to] = [toVersion(fromVersion), toVersion(version)];
    if (to === undefined || !isNewerVersion(to, state.planVersion)) return;
    if (from !== undefined && from !== state.planVersion) {
      logger.info('changes do not fit the plan', { hub: stream.address, from, to });
      return;
    }
    state.applyPlan(from, to, decodePlanChanges(changes));
    logger.info('plan in force', { version: state.planVersion });
  }

  private applyTargets(stream: HubStream, update: HubUpdate, now: number): void {
    const { state } = this.ctx;
    const { targets } = state;
    update.targets.forEach((target) => {
      stream.targetIds.add(target.id);
      this.applyTarget(target, now);
      state.limits.announce(toColdAnnouncement(target, update.handledReportMs), now);
    });
    update.removedTargets.forEach((id) => {
      stream.targetIds.delete(id);
      targets.remove(id);
      this.refs.remove(id);
    });
    // After a restart of all hubs the entry would lose nearly all targets, and overload the few that it is told of.
    if (stream.hasAllTargets || state.isHubStarting) return;
    Object.assign(stream, { hasAllTargets: true });
    targets.retainOnly(stream.targetIds);
  }

  private applyTarget(target: Target, now: number): void {
    const { id, address, service, dataCentre, slots, isDraining, coldMs, born, ref } = target;
    this.refs.set(id, ref);
    this.ctx.state.targets.upsert(
      { id, address, service, dataCentre, slots, isDraining, coldMs, born: Number(born) },
      now,
    );
  }

  private applyEvidenceBatch(batch: Uint8Array, now: number): void {
    const { targets } = this.ctx.state;
    decodeEvidenceBatch(batch).forEach((item) => {
      const id = this.refs.idOf(item.ref);
      const target = id === undefined ? undefined : targets.get(id);
      if (target === undefined) return;
      const othersInFlight = Math.max(0, item.inFlight - target.ownInFlight);
      if (item.entryRef === this.entryRef) target.othersInFlight = othersInFlight;
      else this.applyEvidence(target.info.id, item, othersInFlight, now);
    });
  }

  private applyEvidence(
    id: string,
    { succeeded, suspect, failed }: OutcomeCounts,
    othersInFlight: number,
    now: number,
  ): void {
    const { targets } = this.ctx.state;
    const target = targets.get(id);
    if (target === undefined) return;
    // A rise shows that another entry has started a request.
    if (othersInFlight > target.othersInFlight) target.lastTriedAt = now;
    target.othersInFlight = othersInFlight;
    targets.observe(id, 'succeeded', now, succeeded);
    targets.observe(id, 'suspect', now, suspect);
    targets.observe(id, 'failed', now, failed);
  }
}
