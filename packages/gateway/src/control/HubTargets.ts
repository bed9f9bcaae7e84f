/** Targets as one hub knows them: what they announce, which of them leave, and the belief in each. */
import type { Clock } from '@marigoldbank/base/clock';
import { Emitter } from '@marigoldbank/base/events';
import type { Logger } from '@marigoldbank/daemon/telemetry/Logger';
import type { TargetEvidence } from '@marigoldbank/protocol/gen/marigoldbank/v1/sync_pb';
import { TargetTable } from '@marigoldbank/routing/TargetTable';
import type { TargetOutcome } from '@marigoldbank/routing/TargetBelief';
import type { Announcement } from '../ProtocolAdapter.js';
import type { PlanStateMachine } from './PlanStateMachine.js';
import { TargetRegistry } from './TargetRegistry.js';
import { fromRegistered, toInfo, type TargetInit } from './targets-codec.js';

export interface HubTargetsContext {
  readonly clock: Clock;
  readonly stateMachine: PlanStateMachine;
  readonly logger: Logger;
}

export class HubTargets {
  private readonly registry = new TargetRegistry();

  private readonly board = new TargetTable();

  private readonly changeEmitter = new Emitter<TargetInit>();

  private readonly removeEmitter = new Emitter<string>();

  /** What entries need to know of a target has changed. */
  public readonly onDidChange = this.changeEmitter.event;

  /** A target is gone. */
  public readonly onDidRemove = this.removeEmitter.event;

  public constructor(private readonly ctx: HubTargetsContext) {}

  /** Takes an announcement that was heard at a time in monotonic ms. */
  public register(announcement: Announcement, heardAt: number): void {
    const displaced = this.registry.displacedBy(announcement);
    const effect = this.registry.announce(announcement, heardAt);
    if (effect !== 'changed') return;
    const { id, service, address, isDraining } = announcement;
    this.ctx.logger.info('target changed', { target: id, service, address, isDraining });
    if (displaced !== undefined) this.drop(displaced, 0);
    this.tellChange(id);
  }

  /** Takes into account that a target is marked as leaving. */
  public markLeaving(id: string): void {
    const mark = this.ctx.stateMachine.markOf(id, this.bornOf(id));
    if (mark === undefined) return;
    this.ctx.logger.info('target leaves', { target: id, isGone: mark.isGone });
    if (mark.isGone) this.drop(id, mark.born);
    else this.tellChange(id);
  }

  /** Drops targets that were silent for too long. */
  public expire(now: number): void {
    this.registry.expire(now).forEach((id) => this.drop(id, 0));
  }

  /** Start of a target's incarnation, 0 if unknown. */
  public bornOf(id: string): number {
    return this.registry.get(id)?.announcement.born ?? 0;
  }

  /** A target as sent to entries and hubs. */
  public describe(id: string): TargetInit | undefined {
    const registered = this.registry.get(id);
    if (registered === undefined) return undefined;
    const target = fromRegistered(registered, this.ctx.clock.now());
    const mark = this.ctx.stateMachine.markOf(id, registered.announcement.born);
    return mark === undefined ? target : { ...target, isDraining: true };
  }

  public describeAll(): TargetInit[] {
    return this.registry.all().map(({ announcement }) => this.describe(announcement.id)!);
  }

  /** Moves the belief in a target by outcomes that were reported. */
  public observe(evidence: TargetEvidence, now: number): void {
    const observe = (outcome: TargetOutcome, count: number): void =>
      Array.from({ length: count }).forEach(() => this.board.observe(evidence.id, outcome, now));
    observe('succeeded', evidence.succeeded);
    observe('suspect', evidence.suspect);
    observe('failed', evidence.failed);
  }

  /** Beliefs for an entry that has no evidence of its own. */
  public beliefs(now: number): { id: string; failingProbability: number }[] {
    return this.board.all().map(({ info, belief }) => ({
      id: info.id,
      failingProbability: belief.failingProbability(now),
    }));
  }

  private tellChange(id: string): void {
    const target = this.describe(id);
    if (target === undefined) return;
    const mark = this.ctx.stateMachine.markOf(id, this.bornOf(id));
    if (mark?.isGone) {
      this.drop(id, mark.born);
      return;
    }
    this.board.upsert(toInfo(target), this.ctx.clock.now());
    this.changeEmitter.fire(target);
  }

  private drop(id: string, born: number): void {
    this.registry.leave(id, born);
    this.board.remove(id);
    this.removeEmitter.fire(id);
  }
}
