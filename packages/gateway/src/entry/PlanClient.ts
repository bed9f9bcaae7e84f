/** Asks control VMs what is committed, without a stream. */
import type { Channels } from '@marigoldbank/daemon/transport/Channels';
import { LogService, type CommittedState } from '@marigoldbank/protocol/gen/marigoldbank/v1/log_pb';
import type { PlanUpdate } from '@marigoldbank/protocol/gen/marigoldbank/v1/sync_pb';
import type { HeldState } from '../sync/HeldState.js';
import { toVersionField } from '../sync/plan-version.js';
import type { DirectoryClient } from '../sync/DirectoryClient.js';

export interface IPlanClient {
  /** Asks the log process at `address` what is committed. Resolves to undefined without an answer in time. */
  ask(address: string, held: HeldState, timeoutMs: number): Promise<CommittedState | undefined>;
  /**
   * Fetches the changes from a version, or the whole plan: the committed one, or the newest that is stored. Rejects if that fails or takes longer.
   */
  fetchPlan(
    address: string,
    heldVersion: number | undefined,
    isStored: boolean,
    timeoutMs: number,
  ): Promise<PlanUpdate>;
}

export class PlanClient implements IPlanClient {
  public constructor(
    private readonly datagrams: Pick<DirectoryClient, 'askCommitted'>,
    private readonly channels: Channels,
  ) {}

  public ask(
    address: string,
    held: HeldState,
    timeoutMs: number,
  ): Promise<CommittedState | undefined> {
    return this.datagrams.askCommitted(address, held, timeoutMs);
  }

  public fetchPlan(
    address: string,
    heldVersion: number | undefined,
    isStored: boolean,
    timeoutMs: number,
  ): Promise<PlanUpdate> {
    const client = this.channels.client(LogService, address);
    return client.fetchPlan({ heldPlan: toVersionField(heldVersion), isStored }, { timeoutMs });
  }
}
