/** Asks control VMs for the committed plan, without a stream. */
import { Code, ConnectError } from '@connectrpc/connect';
import type { Channels } from '@marigoldbank/daemon/transport/Channels';
import { LogService, type PlanState } from '@marigoldbank/protocol/gen/marigoldbank/v1/log_pb';
import type { PlanUpdate } from '@marigoldbank/protocol/gen/marigoldbank/v1/sync_pb';
import type { DirectoryClient } from './DirectoryClient.js';

export interface IPlanClient {
  /** Asks the log process at `address` which plan is committed. Resolves to undefined without an answer in time. */
  askPlan(address: string, heldVersion: number, timeoutMs: number): Promise<PlanState | undefined>;
  /** Fetches the changes from a version, or the whole plan. Rejects if that fails or takes longer. */
  fetchPlan(address: string, heldVersion: number, timeoutMs: number): Promise<PlanUpdate>;
}

export class PlanClient implements IPlanClient {
  public constructor(
    private readonly datagrams: Pick<DirectoryClient, 'askPlan'>,
    private readonly channels: Channels,
  ) {}

  public askPlan(
    address: string,
    heldVersion: number,
    timeoutMs: number,
  ): Promise<PlanState | undefined> {
    return this.datagrams.askPlan(address, heldVersion, timeoutMs);
  }

  public async fetchPlan(
    address: string,
    heldVersion: number,
    timeoutMs: number,
  ): Promise<PlanUpdate> {
    const client = this.channels.client(LogService, address);
    const update = await client.fetchPlan({ heldPlan: BigInt(heldVersion) }, { timeoutMs });
    if (update.version === 0n) throw new ConnectError('no plan', Code.NotFound);
    return update;
  }
}
