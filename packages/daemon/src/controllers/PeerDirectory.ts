/** Looks up the entries of the view. */
import type { EntryRecord } from '@marigoldbank/fleet/config';
import type { Blackboard } from '../Blackboard.js';

export class PeerDirectory {
  private records = new Map<string, EntryRecord>();

  public constructor(
    blackboard: Blackboard,
    private readonly self: string,
  ) {
    blackboard.config.onDidChange((section) => {
      this.records = new Map(
        (section?.config.view.entries ?? []).map((record) => [record.vm, record]),
      );
    });
  }

  /** Returns the internal address of an entry. Throws if it is not in the view in force. */
  public addressOf(vm: string): string {
    const record = this.records.get(vm);
    if (record === undefined) throw new RangeError(`entry ${vm} is not in the view`);
    return record.internalAddress;
  }

  public recordOf(vm: string): EntryRecord | undefined {
    return this.records.get(vm);
  }

  /** Returns all entries of the view except this one. */
  public others(): EntryRecord[] {
    return [...this.records.values()].filter((record) => record.vm !== this.self);
  }
}
