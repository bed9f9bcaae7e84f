/** Targets known to one hub: their announcements, leaving marks and failure probabilities. */
import type { Clock } from '@marigoldbank/base/clock';
import { Emitter } from '@marigoldbank/base/events';
import type { Logger } from '@marigoldbank/daemon/telemetry/Logger';
import { TargetTable } from '@marigoldbank/routing/TargetTable';
import type { TargetOutcome } from '@marigoldbank/routing/TargetBelief';
import { isUsable, type Announcement } from '../announcement.js';
import type { Evidence } from '../sync/EvidenceBuffer.js';
import { TargetRefs } from '../sync/TargetRefs.js';
import type { PlanStateMachine } from './PlanStateMachine.js';
import { isColdnessChanged } from './coldness.js';
import { sumSlots, type ServiceSlots } from './SlotTable.js';
import { TargetRegistry } from './TargetRegistry.js';
import { toTargetMessage, toTargetInfo, type TargetInit } from './targets-codec.js';

/** A target that has not changed is announced to other hubs this often. They forget it after 20 s. */
const RELAY_INTERVAL_MS = 5_000;

export interface HubTargetsContext {
  readonly clock: Clock;
  readonly stateMachine: PlanStateMachine;
  readonly logger: Logger;
}

export class HubTargets {
  /** Numbers of the targets in the evidence batches of this hub. */
  public readonly refs = new TargetRefs();

  private readonly registry = new TargetRegistry();

  private readonly targetTable = new TargetTable();

  /** Times (monotonic ms) at which other hubs were last told of each target. */
  private readonly relayedAt = new Map<string, number>();

  /** Times (monotonic ms) until which targets are cold, as entries were last told. */
  private readonly coldUntil = new Map<string, number>();

  private readonly changeEmitter = new Emitter<TargetInit>();

  private readonly removeEmitter = new Emitter<string>();

  private readonly observeEmitter = new Emitter<Evidence>();

  /** Fires with the outcomes of each report, of entries of any hub. */
  public readonly onDidObserve = this.observeEmitter.event;

  /** Fires when the description of a target, as sent to entries, has changed. */
  public readonly onDidChange = this.changeEmitter.event;

  /** Fires with the id of a target that was removed. */
  public readonly onDidRemove = this.removeEmitter.event;

  public constructor(private readonly ctx: HubTargetsContext) {}

  /**
   * Registers an announcement that was received at `announcedAt` (monotonic ms). Returns whether other hubs should be told:
   * of changes, and now and then of targets that are still there.
   */
  public register(announcement: Announcement, announcedAt: number): boolean {
    // A hub of an older release passes on announcements that cannot be encoded for entries.
    if (!isUsable(announcement)) {
      this.ctx.logger.warn('unusable announcement', { target: announcement.id });
      return false;
    }
    const displaced = this.registry.displacedBy(announcement);
    const effect = this.registry.announce(announcement, announcedAt);
    if (effect === 'outdated') return false;
    if (effect === 'refreshed') {
      return this.passOnColdness(announcement, announcedAt) || this.isRelayDue(announcement.id);
    }
    this.relayedAt.set(announcement.id, this.ctx.clock.now());
    const { id, service, address, isDraining } = announcement;
    this.ctx.logger.info('target changed', { target: id, service, address, isDraining });
    if (displaced !== undefined) this.drop(displaced, 0);
    this.emitChange(id);
    return true;
  }

  /** Applies the leaving mark of a target. */
  public markLeaving(id: string): void {
    const mark = this.ctx.stateMachine.leavingMark(id, this.bornOf(id));
    if (mark === undefined) return;
    this.ctx.logger.info('target leaves', { target: id, isGone: mark.isGone });
    if (mark.isGone) this.drop(id, mark.born);
    else if (this.registry.get(id) !== undefined) this.emitChange(id);
    // Entries may still know the target from a hub that they followed before.
    else this.removeEmitter.fire(id);
  }

  /** Removes targets whose announcements have expired. */
  public expire(now: number): void {
    this.registry.expire(now).forEach((id) => this.drop(id, 0));
  }

  /** Start (Unix ms) of a target's incarnation, 0 if unknown. */
  public bornOf(id: string): number {
    return this.registry.get(id)?.announcement.born ?? 0;
  }

  /** Returns a target as sent to entries and hubs. */
  public describe(id: string): TargetInit | undefined {
    const registered = this.registry.get(id);
    if (registered === undefined) return undefined;
    const target = {
      ...toTargetMessage(registered, this.ctx.clock.now()),
      ref: this.refs.assign(id),
    };
    const mark = this.ctx.stateMachine.leavingMark(id, registered.announcement.born);
    return mark === undefined ? target : { ...target, isDraining: true };
  }

  public get slots(): ServiceSlots[] {
    return sumSlots(this.registry.all().map(({ announcement }) => announcement));
  }

  /** Targets that may get requests: those that do not leave, outside of evacuated data centres. */
  public describeUsable(): TargetInit[] {
    const evacuated = new Set(this.ctx.stateMachine.evacuations.evacuated);
    return this.describeAll().filter(
      ({ isDraining, dataCentre = '' }) => isDraining !== true && !evacuated.has(dataCentre),
    );
  }

  public describeAll(): TargetInit[] {
    return this.registry.all().map(({ announcement }) => this.describe(announcement.id)!);
  }

  /** Updates the failure probability of a target with reported outcomes. */
  public observe(evidence: Evidence, now: number): void {
    const observe = (outcome: TargetOutcome, count: number): void =>
      Array.from({ length: count }).forEach(() =>
        this.targetTable.observe(evidence.id, outcome, now),
      );
    observe('succeeded', evidence.succeeded);
    observe('suspect', evidence.suspect);
    observe('failed', evidence.failed);
    this.observeEmitter.fire(evidence);
  }

  /** Failure probabilities for an entry that has no evidence of its own. */
  public beliefs(now: number): { id: string; failingProbability: number }[] {
    return this.targetTable.all().map(({ info, belief }) => ({
      id: info.id,
      failingProbability: belief.failingProbability(now),
    }));
  }

  /** Whether other hubs have not been told of a target for a while. Notes that they are. */
  private isRelayDue(id: string): boolean {
    const now = this.ctx.clock.now();
    if (now - (this.relayedAt.get(id) ?? -Infinity) < RELAY_INTERVAL_MS) return false;
    this.relayedAt.set(id, now);
    return true;
  }

  /**
   * Tells entries that a target has become cold again, or is cold for a longer or shorter time than they know, if its service
   * bounds the requests to cold targets. Returns whether other hubs should be told.
   */
  private passOnColdness({ id, service, coldMs }: Announcement, announcedAt: number): boolean {
    const { clock, stateMachine, logger } = this.ctx;
    const isBounded = stateMachine.current?.plan.services.some(
      ({ name, coldPerSecond }) => name === service && coldPerSecond !== undefined,
    );
    const now = clock.now();
    const nextUntil = announcedAt + coldMs;
    if (isBounded !== true) return false;
    if (!isColdnessChanged(this.coldUntil.get(id) ?? 0, nextUntil, now)) return false;
    this.relayedAt.set(id, now);
    logger.info('target coldness changed', {
      target: id,
      forMs: Math.max(0, Math.round(nextUntil - now)),
    });
    this.emitChange(id);
    return true;
  }

  private emitChange(id: string): void {
    const target = this.describe(id);
    if (target === undefined) return;
    const mark = this.ctx.stateMachine.leavingMark(id, this.bornOf(id));
    if (mark?.isGone) {
      this.drop(id, mark.born);
      return;
    }
    this.targetTable.upsert(toTargetInfo(target), this.ctx.clock.now());
    this.coldUntil.set(id, this.ctx.clock.now() + (target.coldMs ?? 0));
    this.changeEmitter.fire(target);
  }

  private drop(id: string, born: number): void {
    this.registry.remove(id, born);
    this.targetTable.remove(id);
    this.refs.remove(id);
    this.relayedAt.delete(id);
    this.coldUntil.delete(id);
    this.removeEmitter.fire(id);
  }
}
