/** Encodes plans for the entries of a hub, as changes from the plan that an entry holds if that is a recent one. */
import type { Logger } from '@marigoldbank/daemon/telemetry/Logger';
import type { CommittedPlan } from './CommittedPlan.js';
import { PlanEncoder } from './PlanEncoder.js';
import type { PlanStateMachine } from './PlanStateMachine.js';
import { RecentPlans } from './RecentPlans.js';

export class PlanUpdates {
  private readonly encoder = new PlanEncoder();

  private readonly recent: RecentPlans;

  public constructor(
    stateMachine: Pick<PlanStateMachine, 'current' | 'onDidChangePlan'>,
    private readonly logger: Logger,
  ) {
    this.recent = new RecentPlans(stateMachine);
  }

  /** The plan of a version if it is a recent one. */
  public planOf(version: number | undefined): CommittedPlan | undefined {
    return this.recent.planOf(version);
  }

  /** Encodes the changes from a plan, or a whole plan for an entry that connected with an unknown one. */
  public encode(
    from: CommittedPlan | undefined,
    to: CommittedPlan,
    entry: string,
    heldVersion: number | undefined,
  ): Uint8Array {
    const changes = this.encoder.encode(from, to);
    if (from === undefined) {
      const context = { entry, held: heldVersion ?? -1, bytes: changes.length };
      this.logger.info('a whole plan is sent', context);
    }
    return changes;
  }
}
