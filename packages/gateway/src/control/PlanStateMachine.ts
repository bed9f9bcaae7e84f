/** Replicated state of the gateway: the newest plan with its document, and the targets that leave. */
import { Emitter } from '@marigoldbank/base/events';
import { StateMachine } from '@marigoldbank/replicated-log';
import type { RoutingPlan } from '@marigoldbank/routing/plan';
import {
  commandSchema,
  stateSchema,
  type Command,
  type CommandResult,
  type LeavingMark,
} from './commands.js';
import { CommittedPlan } from './CommittedPlan.js';

/** Marks of targets that left are dropped after this time; by then no late announcement of theirs arrives. */
const MARK_LIFETIME_MS = 120_000;

export class PlanStateMachine extends StateMachine {
  private readonly planEmitter = new Emitter<CommittedPlan>();

  private readonly leavingEmitter = new Emitter<string>();

  /** A newer plan is committed. */
  public readonly onDidChangePlan = this.planEmitter.event;

  /** A target is committed as leaving. */
  public readonly onDidMarkLeaving = this.leavingEmitter.event;

  /** Index of the last command that was applied. */
  public appliedIndex = 0;

  private held: CommittedPlan | undefined;

  private readonly leaving = new Map<string, LeavingMark>();

  public get current(): CommittedPlan | undefined {
    return this.held;
  }

  /** The mark of an incarnation. A mark of an unknown start counts for every incarnation. */
  public markOf(id: string, born: number): LeavingMark | undefined {
    const mark = this.leaving.get(id);
    if (mark === undefined) return undefined;
    const isOther = mark.born !== 0 && born !== 0 && mark.born < born;
    return isOther ? undefined : mark;
  }

  public override apply(index: number, data: Uint8Array): Uint8Array {
    this.appliedIndex = index;
    const parsed = commandSchema.safeParse(JSON.parse(Buffer.from(data).toString()));
    // Only commands of this schema are proposed; one of a newer release is passed over on every member alike.
    const result = parsed.success ? this.run(parsed.data) : 'superseded';
    return Buffer.from(result);
  }

  public override snapshot(): Uint8Array {
    return Buffer.from(
      JSON.stringify({
        document: this.held?.document ?? '',
        plan: this.held?.plan ?? null,
        leaving: Object.fromEntries(this.leaving),
      }),
    );
  }

  public override restore(snapshot: Uint8Array): void {
    const state = stateSchema.parse(JSON.parse(Buffer.from(snapshot).toString()));
    this.leaving.clear();
    Object.entries(state.leaving).forEach(([id, mark]) => this.leaving.set(id, mark));
    if (state.plan !== null) this.hold(state.plan, state.document);
    [...this.leaving.keys()].forEach((id) => this.leavingEmitter.fire(id));
  }

  private run(command: Command): CommandResult {
    if (command.kind === 'markLeaving') return this.mark(command);
    if (this.held !== undefined && command.plan.version <= this.held.plan.version) {
      return 'superseded';
    }
    this.hold(command.plan, command.document);
    return 'applied';
  }

  private mark({ id, born, isGone, at }: Extract<Command, { kind: 'markLeaving' }>): CommandResult {
    [...this.leaving]
      .filter(([, mark]) => mark.at < at - MARK_LIFETIME_MS)
      .forEach(([old]) => this.leaving.delete(old));
    const known = this.leaving.get(id);
    if (known !== undefined && known.born > born && born !== 0) return 'superseded';
    this.leaving.set(id, { born, isGone: isGone || (known?.isGone ?? false), at });
    this.leavingEmitter.fire(id);
    return 'applied';
  }

  private hold(plan: RoutingPlan, document: string): void {
    this.held = new CommittedPlan(plan, document);
    this.planEmitter.fire(this.held);
  }
}
