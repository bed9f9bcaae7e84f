/**
 * The last orders of operators and targets that this log process applied, for operators who ask what was in force when. Orders that
 * a snapshot replaced are not known here; other members may have them.
 */
import type { Command } from './commands.js';
import type { PlanStateMachine } from './PlanStateMachine.js';

const MAX_ENTRIES = 500;

export interface OrderHistoryEntry {
  /** Index in the replicated log. */
  readonly index: number;
  /** When this process applied it, ISO 8601. After a start this is the time at which it was read from the log. */
  readonly appliedAt: string;
  readonly order: string;
  /** Version of a configuration, name of a data centre or id of a target. */
  readonly subject: string;
  /** False if a later order had been applied before. */
  readonly hasEffect: boolean;
}

function describe(command: Command): Pick<OrderHistoryEntry, 'order' | 'subject'> {
  if (command.kind === 'putPlan') {
    return { order: 'configuration', subject: String(command.plan.version) };
  }
  if (command.kind === 'orderEvacuation') {
    const order = command.isEvacuated ? 'evacuation started' : 'evacuation ended';
    return { order, subject: command.dataCentre };
  }
  return { order: command.isGone ? 'target left' : 'target is leaving', subject: command.id };
}

export class OrderHistory {
  private entries: readonly OrderHistoryEntry[] = [];

  /** `timeOfDay` returns Unix ms. */
  public constructor(stateMachine: PlanStateMachine, timeOfDay: () => number = Date.now) {
    stateMachine.onDidApply(({ index, command, result }) => {
      if (command === undefined) return;
      const appliedAt = new Date(timeOfDay()).toISOString();
      const entry = { index, appliedAt, ...describe(command), hasEffect: result === 'applied' };
      this.entries = [...this.entries.slice(1 - MAX_ENTRIES), entry];
    });
  }

  /** Oldest first. */
  public list(): readonly OrderHistoryEntry[] {
    return this.entries;
  }
}
