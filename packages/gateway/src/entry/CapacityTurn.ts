/** One request between its admission and its first attempt, and what its callers are told if it was refused. */
import type { WaitOutcome } from '@marigoldbank/routing/load/WaitingRequests';
import type { Selection } from '@marigoldbank/routing/TargetSelector';
import type {
  CapacityRequest,
  EntryCapacity,
  RefusalReason,
  StartRequest,
} from './EntryCapacity.js';
import type { ErrorResponse } from './ErrorResponse.js';
import type { RunContext, RunOutcome, RunRequest } from './run-types.js';

/** How a target is selected and the request is sent, and what is known of it at present. */
export interface TurnActions extends Pick<StartRequest, 'select' | 'send'> {
  readonly timing: () => Pick<CapacityRequest, 'service' | 'dueAt' | 'expectedMs'>;
}

/** An attempt that a target did not run. */
export interface RejectedAttempt {
  /** Whether the target seemed to have a free slot when the attempt began. */
  readonly hadFreeSlot: boolean;
  /** Whether the request may have reached the target. */
  readonly wasSent: boolean;
}

export class CapacityTurn {
  private readonly rejections: RejectedAttempt[] = [];

  private isWithoutSlot = false;

  private constructor(
    private readonly capacity: EntryCapacity,
    private readonly rank: number,
    private readonly objectiveAt: number,
    private readonly actions: TurnActions,
  ) {}

  /** Returns undefined if requests do not wait for slots. */
  public static create(
    { clock, state: { capacity } }: Pick<RunContext, 'clock' | 'state'>,
    { priority, route, receivedAt = clock.now() }: RunRequest,
    actions: TurnActions,
  ): CapacityTurn | undefined {
    if (capacity === undefined) return undefined;
    return new CapacityTurn(capacity, priority, receivedAt + route.objectiveMs, actions);
  }

  /** Starts the request as soon as a target has a free slot, until `ended`. */
  public async start(first: Selection, ended: Promise<unknown>): Promise<WaitOutcome> {
    const { select, send } = this.actions;
    const outcome = await this.capacity.start({ ...this.properties, select, send }, first, ended);
    if (outcome === 'refused') this.noteWithoutSlot();
    return outcome;
  }

  /** Notes that the request could not be answered in time for lack of free slots. */
  public noteWithoutSlot(): void {
    this.isWithoutSlot = true;
  }

  public noteRejection(rejection: RejectedAttempt): void {
    this.rejections.push(rejection);
  }

  /** Adds the time to come back to the outcome of a refused request. */
  public withReturnTime(outcome: RunOutcome): RunOutcome {
    if (outcome.kind !== 'refused') return outcome;
    const { error } = outcome;
    const reason = this.reasonOf(error);
    return {
      kind: 'refused',
      error: this.capacity.withReturnTime(error, reason, this.properties),
    };
  }

  private get properties(): CapacityRequest {
    const { rank, objectiveAt, actions } = this;
    return { ...actions.timing(), rank, objectiveAt };
  }

  private reasonOf({ kind }: ErrorResponse): RefusalReason {
    const reached = this.rejections.filter(({ wasSent }) => wasSent);
    if (this.isWithoutSlot || reached.some(({ hadFreeSlot }) => !hadFreeSlot)) return 'noSlot';
    if (reached.length > 0) return 'rejected';
    return kind === 'noTarget' || kind === 'overloaded' ? 'noTarget' : 'other';
  }
}
