/** Addresses of the entries in the view. */
import type { EntryRecord } from '@marigoldbank/fleet/config';
import type { SharedState } from '../SharedState.js';

export class PeerDirectory {
  private records = new Map<string, EntryRecord>();

  public constructor(
    sharedState: SharedState,
    private readonly self: string,
  ) {
    sharedState.config.onDidChange((section) => {
      this.records = new Map(
        (section?.config.view.entries ?? []).map((record) => [record.vm, record]),
      );
    });
  }

  /** Internal address of an entry. Throws if it is not in the view in force here. */
  public addressOf(vm: string): string {
    const record = this.records.get(vm);
    if (record === undefined) throw new RangeError(`entry ${vm} is not in the view`);
    return record.internalAddress;
  }

  public recordOf(vm: string): EntryRecord | undefined {
    return this.records.get(vm);
  }

  /** All entries of the view but this one. */
  public others(): EntryRecord[] {
    return [...this.records.values()].filter((record) => record.vm !== this.self);
  }
}
