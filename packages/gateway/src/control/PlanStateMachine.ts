/** Replicated state of the gateway: the newest plan with its document, the targets marked as leaving, and evacuations. */
import { Emitter } from '@marigoldbank/base/events';
import { StateMachine } from '@marigoldbank/replicated-log';
import { isNewerVersion, type RoutingPlan } from '@marigoldbank/routing/plan';
import {
  stateSchema,
  type Command,
  type CommandInit,
  type CommandResult,
  type LeavingMark,
} from './commands.js';
import { decodeCommand } from './command-codec.js';
import { CommittedPlan } from './CommittedPlan.js';
import { EvacuationTable } from './EvacuationTable.js';

/** Older leaving marks are removed with the next one; delayed announcements of their targets no longer arrive. */
const MARK_LIFETIME_MS = 120_000;

/** A command with its index in the log. */
export interface AppliedCommand {
  readonly index: number;
  readonly data: Uint8Array;
  /** Undefined if this release cannot read it. */
  readonly command?: Command | undefined;
  readonly result?: CommandResult;
}

export class PlanStateMachine extends StateMachine {
  private readonly planEmitter = new Emitter<CommittedPlan>();

  private readonly leavingEmitter = new Emitter<string>();

  /** Fires when a newer plan is committed, and when a snapshot with a plan is restored. */
  public readonly onDidChangePlan = this.planEmitter.event;

  /** Fires when the leaving mark of a target is committed, and for each mark of a restored snapshot. */
  public readonly onDidMarkLeaving = this.leavingEmitter.event;

  private readonly evacuationEmitter = new Emitter<string>();

  /** Fires with the data centre of an order about evacuation that was applied, and for each newer one of a snapshot. */
  public readonly onDidOrderEvacuation = this.evacuationEmitter.event;

  public readonly evacuations = new EvacuationTable();

  private readonly applyEmitter = new Emitter<AppliedCommand>();

  private readonly restoreEmitter = new Emitter<void>();

  /** Fires for each command after it was applied. */
  public readonly onDidApply = this.applyEmitter.event;

  /** Fires when a snapshot has replaced commands that were not applied one by one. */
  public readonly onDidRestore = this.restoreEmitter.event;

  /** Index of the last command that was applied; restoring a snapshot leaves it unchanged. */
  public appliedIndex = 0;

  private committed: CommittedPlan | undefined;

  private readonly leavingMarks = new Map<string, LeavingMark>();

  public get current(): CommittedPlan | undefined {
    return this.committed;
  }

  /**
   * Returns the leaving mark that applies to an incarnation: that of the same or a later incarnation. A mark or an
   * incarnation with unknown start (0) always matches.
   */
  public leavingMark(id: string, born: number): LeavingMark | undefined {
    const mark = this.leavingMarks.get(id);
    if (mark === undefined) return undefined;
    const isLaterIncarnation = mark.born !== 0 && born !== 0 && mark.born < born;
    return isLaterIncarnation ? undefined : mark;
  }

  /** Whether a command is applied or superseded, so that proposing it would change nothing. */
  public isInEffect(command: CommandInit): boolean {
    if (command.kind === 'putPlan') {
      return !isNewerVersion(command.plan.version, this.committed?.plan.version);
    }
    if (command.kind === 'orderEvacuation') return this.evacuations.isDecided(command);
    const mark = this.leavingMark(command.id, command.born);
    if (mark === undefined) return false;
    const isLater = command.born !== 0 && mark.born > command.born;
    return isLater || mark.isGone || !command.isGone;
  }

  public override apply(index: number, data: Uint8Array): Uint8Array {
    this.appliedIndex = index;
    const command = decodeCommand(data);
    // This release proposes only commands that it can read. All members that run it skip commands of a newer release.
    const result = command === undefined ? 'superseded' : this.execute(index, command);
    this.applyEmitter.fire({ index, data, command, result });
    return Buffer.from(result);
  }

  public override snapshot(): Uint8Array {
    return Buffer.from(
      JSON.stringify({
        document: this.committed?.document ?? '',
        plan: this.committed?.plan ?? null,
        leaving: Object.fromEntries(this.leavingMarks),
        evacuations: this.evacuations.toRecord(),
      }),
    );
  }

  /**
   * Adds the state of a snapshot. A log process that has restarted may serve a snapshot that is older than what a hub
   * already has, so a newer plan and other marks stay.
   */
  public override restore(snapshot: Uint8Array): void {
    const state = stateSchema.parse(JSON.parse(Buffer.from(snapshot).toString()));
    Object.entries(state.leaving).forEach(([id, mark]) => this.mergeMark(id, mark));
    // Before the plan: an entry that gets its first one must know them.
    this.evacuations
      .merge(state.evacuations)
      .forEach((dataCentre) => this.evacuationEmitter.fire(dataCentre));
    const heldVersion = this.committed?.plan.version;
    if (state.plan !== null && isNewerVersion(state.plan.version, heldVersion)) {
      this.setPlan(state.plan, state.document);
    }
    this.restoreEmitter.fire();
    Object.keys(state.leaving).forEach((id) => this.leavingEmitter.fire(id));
  }

  private execute(index: number, command: Command): CommandResult {
    if (command.kind === 'markLeaving') return this.markLeaving(command);
    if (command.kind === 'orderEvacuation') {
      if (!this.evacuations.apply(index, command)) return 'superseded';
      this.evacuationEmitter.fire(command.dataCentre);
      return 'applied';
    }
    if (!isNewerVersion(command.plan.version, this.committed?.plan.version)) return 'superseded';
    this.setPlan(command.plan, command.document);
    return 'applied';
  }

  private markLeaving({
    id,
    born,
    isGone,
    at,
  }: Extract<Command, { kind: 'markLeaving' }>): CommandResult {
    [...this.leavingMarks]
      .filter(([, mark]) => mark.at < at - MARK_LIFETIME_MS)
      .forEach(([old]) => this.leavingMarks.delete(old));
    if (!this.mergeMark(id, { born, isGone, at })) return 'superseded';
    this.leavingEmitter.fire(id);
    return 'applied';
  }

  /** Returns false if a later incarnation is marked. A target that has left does not return to draining. */
  private mergeMark(id: string, { born, isGone, at }: LeavingMark): boolean {
    const known = this.leavingMarks.get(id);
    if (known !== undefined && known.born > born && born !== 0) return false;
    this.leavingMarks.set(id, { born, isGone: isGone || (known?.isGone ?? false), at });
    return true;
  }

  private setPlan(plan: RoutingPlan, document: string): void {
    this.committed = new CommittedPlan(plan, document);
    this.planEmitter.fire(this.committed);
  }
}
