/**
 * What the log of this VM holds after its last commit: after a loss of power nothing counts as committed before there is a
 * leader, but everything that was committed is in the logs of a majority.
 */
import type { IReplicatedLog, LogEntry } from '@marigoldbank/replicated-log';
import { isNewerVersion } from '@marigoldbank/routing/plan';
import {
  isEvacuationCommand,
  isLeavingCommand,
  readPlanVersion,
  type Command,
  type LeavingMark,
} from './commands.js';
import { decodeCommand } from './command-codec.js';
import { CommittedPlan } from './CommittedPlan.js';
import { EvacuationTable } from './EvacuationTable.js';
import type { PlanStateMachine } from './PlanStateMachine.js';

export interface StoredLeaving extends LeavingMark {
  readonly id: string;
}

interface Stored {
  /** End of the log and last commit to which this belongs. */
  readonly position: string;
  readonly lastTerm: number;
  readonly lastIndex: number;
  readonly plan: CommittedPlan | undefined;
  readonly entries: readonly LogEntry[];
  /** Older plans that were asked for, as the base of changes. */
  readonly bases: Map<number, CommittedPlan | undefined>;
  readonly leaving: readonly StoredLeaving[];
  /** Data centres that would be evacuated if all that is stored were committed. */
  readonly evacuated: readonly string[];
}

function parse({ data }: LogEntry): Command | undefined {
  return decodeCommand(data);
}

/** Version of the plan that an entry sets, undefined for another entry. */
function versionOf(entry: LogEntry): number | undefined {
  if (entry.kind !== 'command' || isLeavingCommand(entry.data)) return undefined;
  const version = readPlanVersion(entry.data);
  if (version !== undefined) return version;
  const command = parse(entry);
  return command?.kind === 'putPlan' ? command.plan.version : undefined;
}

function toPlan(entry: LogEntry): CommittedPlan | undefined {
  const command = parse(entry);
  if (command?.kind !== 'putPlan') return undefined;
  return new CommittedPlan(command.plan, command.document);
}

export class StoredCommands {
  private cached: Stored | undefined;

  public constructor(
    private readonly log: Pick<IReplicatedLog, 'status' | 'storedAfter'>,
    private readonly stateMachine: Pick<PlanStateMachine, 'current' | 'evacuations'>,
  ) {}

  /** The newest plan, the targets that leave and the evacuations. Read again only if the log has changed. */
  public read(): Stored {
    const { commitIndex } = this.log.status();
    const { lastTerm, lastIndex, entries } = this.log.storedAfter(commitIndex);
    const position = [lastTerm, lastIndex, commitIndex].join(' ');
    if (this.cached?.position !== position) {
      this.cached = {
        position,
        lastTerm,
        lastIndex,
        plan: this.newestPlan(entries),
        entries,
        bases: new Map(),
        leaving: entries
          .filter(({ kind, data }) => kind === 'command' && isLeavingCommand(data))
          .map((entry) => parse(entry))
          .flatMap((command) => (command?.kind === 'markLeaving' ? [command] : [])),
        evacuated: this.evacuatedWith(entries),
      };
    }
    return this.cached;
  }

  /** A plan that is stored but not the newest one. */
  public planOf(version: number | undefined): CommittedPlan | undefined {
    if (version === undefined) return undefined;
    const { entries, bases } = this.read();
    if (!bases.has(version)) {
      const entry = entries.find((other) => versionOf(other) === version);
      bases.set(version, entry === undefined ? undefined : toPlan(entry));
    }
    return bases.get(version);
  }

  private evacuatedWith(entries: readonly LogEntry[]): string[] {
    const table = new EvacuationTable(this.stateMachine.evacuations.toRecord());
    entries
      .filter(({ kind, data }) => kind === 'command' && isEvacuationCommand(data))
      .forEach((entry) => {
        const command = parse(entry);
        if (command?.kind === 'orderEvacuation') table.apply(entry.index, command);
      });
    return table.evacuated;
  }

  private newestPlan(entries: readonly LogEntry[]): CommittedPlan | undefined {
    const { current } = this.stateMachine;
    const [newest] = entries
      .flatMap((entry) => {
        const version = versionOf(entry);
        return version === undefined ? [] : [{ entry, version }];
      })
      .sort((a, b) => b.version - a.version);
    const isNewer = newest !== undefined && isNewerVersion(newest.version, current?.plan.version);
    return isNewer ? (toPlan(newest.entry) ?? current) : current;
  }
}
