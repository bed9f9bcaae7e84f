/** Asks control VMs what is committed, without a stream. */
import type { Channels } from '@marigoldbank/daemon/transport/Channels';
import {
  LogService,
  type CommittedState,
  type FetchResponse,
} from '@marigoldbank/protocol/gen/marigoldbank/v1/log_pb';
import type { HeldState } from '../control/CommitHistory.js';
import type { DirectoryClient } from './DirectoryClient.js';

export interface IPlanClient {
  /** Asks the log process at `address` what is committed. Resolves to undefined without an answer in time. */
  ask(address: string, held: HeldState, timeoutMs: number): Promise<CommittedState | undefined>;
  /** Fetches what does not fit into an answer. Rejects if that fails or takes longer. */
  fetch(address: string, held: HeldState, timeoutMs: number): Promise<FetchResponse>;
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

  public fetch(address: string, held: HeldState, timeoutMs: number): Promise<FetchResponse> {
    const client = this.channels.client(LogService, address);
    const req = { heldPlan: BigInt(held.planVersion), heldIndex: BigInt(held.index) };
    return client.fetch(req, { timeoutMs });
  }
}
