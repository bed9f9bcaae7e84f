/** Batches entries that are to join the view, so that one change adds all of them. */
import { randomUUID } from 'node:crypto';
import type { Clock } from '@marigoldbank/base/clock';
import type { IDisposable } from '@marigoldbank/base/lifecycle';
import type { Change } from '@marigoldbank/fleet/changes';
import type { EntryRecord, FleetConfig } from '@marigoldbank/fleet/config';

/** When a whole fleet starts, batching yields a few changes instead of one per VM. */
const JOIN_BATCH_MS = 100;

/** Operator name of changes that the control VMs propose on their own. */
export const CONTROL_OPERATOR = 'control';

function isSameEntry(a: EntryRecord, b: EntryRecord): boolean {
  return (
    a.dataCentre === b.dataCentre &&
    a.callerAddress === b.callerAddress &&
    a.internalAddress === b.internalAddress
  );
}

/** Whether the entry is missing from the view, or is listed there with other addresses. A removed entry may not join. */
export function needsToJoin(config: FleetConfig, entry: EntryRecord): boolean {
  if (config.removedEntries.includes(entry.vm)) return false;
  const known = config.view.entries.find((other) => other.vm === entry.vm);
  return known === undefined || !isSameEntry(known, entry);
}

export class JoinQueue implements IDisposable {
  private readonly waiting = new Map<string, EntryRecord>();

  private timer: IDisposable | undefined;

  public constructor(
    private readonly clock: Clock,
    private readonly propose: (change: Change) => void,
  ) {}

  /** Adds an entry to the next batch. */
  public add(entry: EntryRecord): void {
    this.waiting.set(entry.vm, entry);
    this.timer ??= this.clock.setTimeout(() => this.flush(), JOIN_BATCH_MS);
  }

  public dispose(): void {
    this.timer?.dispose();
    this.waiting.clear();
  }

  private flush(): void {
    this.timer = undefined;
    const entries = [...this.waiting.values()];
    this.waiting.clear();
    this.propose({
      kind: 'joinEntries',
      changeId: `join-${randomUUID()}`,
      operator: CONTROL_OPERATOR,
      at: new Date().toISOString(),
      entries,
    });
  }
}
