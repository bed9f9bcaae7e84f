/**
 * Tells entries which plan is committed, and what changed since the one that they hold. Their hubs send them each plan; an
 * entry asks when its hub has not confirmed the plan for a while, since the hub may be cut off, late or lost.
 */
import type { MessageInitShape } from '@bufbuild/protobuf';
import type { PlanStateSchema } from '@marigoldbank/protocol/gen/marigoldbank/v1/log_pb';
import type { PlanUpdateSchema } from '@marigoldbank/protocol/gen/marigoldbank/v1/sync_pb';
import type { CommittedPlan } from './CommittedPlan.js';
import { PlanEncoder } from './PlanEncoder.js';
import type { PlanStateMachine } from './PlanStateMachine.js';
import type { StateConfirmation } from './StateConfirmation.js';

/** Plans that are kept, also as the base of changes. An entry that holds an older one gets a complete plan. */
const MAX_PLANS = 16;

/** Larger changes are fetched by a call: a datagram of more than one packet is lost more often. */
const MAX_DATAGRAM_CHANGES = 1_100;

export interface PlanHistoryContext {
  readonly stateMachine: Pick<PlanStateMachine, 'current' | 'onDidChangePlan'>;
  readonly confirmation: Pick<StateConfirmation, 'confirmedAgeMs'>;
}

export class PlanHistory {
  private plans: readonly CommittedPlan[];

  private readonly encoder = new PlanEncoder();

  public constructor(private readonly ctx: PlanHistoryContext) {
    const { current } = ctx.stateMachine;
    this.plans = current === undefined ? [] : [current];
    ctx.stateMachine.onDidChangePlan((plan) => {
      this.plans = [...this.plans, plan].slice(-MAX_PLANS);
    });
  }

  /** The state of the plan for an entry that holds a version, undefined before the first plan. */
  public stateFor(heldVersion: number): MessageInitShape<typeof PlanStateSchema> | undefined {
    const current = this.plans.at(-1);
    if (current === undefined) return undefined;
    const { version } = current.plan;
    const ageMs = this.ctx.confirmation.confirmedAgeMs();
    const base = this.planOf(heldVersion);
    const changes =
      version > heldVersion && base !== undefined ? this.encoder.encode(base, current) : undefined;
    const doesFit = changes !== undefined && changes.length <= MAX_DATAGRAM_CHANGES;
    return {
      version: BigInt(version),
      ...(Number.isFinite(ageMs) ? { confirmedAgeMs: Math.ceil(Math.max(0, ageMs)) } : {}),
      ...(doesFit ? { changes } : {}),
    };
  }

  /** The changes from a version to the current plan, or the complete plan. Undefined before the first plan. */
  public updateFrom(heldVersion: number): MessageInitShape<typeof PlanUpdateSchema> | undefined {
    const current = this.plans.at(-1);
    if (current === undefined) return undefined;
    const base = this.planOf(heldVersion);
    return {
      fromVersion: BigInt(base?.plan.version ?? 0),
      version: BigInt(current.plan.version),
      changes: this.encoder.encode(base, current),
    };
  }

  private planOf(version: number): CommittedPlan | undefined {
    return this.plans.find(({ plan }) => plan.version === version);
  }
}
