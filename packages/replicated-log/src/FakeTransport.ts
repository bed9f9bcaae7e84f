/** Transport over the fake network. */
import { ConsensusTransport } from './ConsensusTransport.js';
import type { FakeNetwork, MessageCall } from './FakeNetwork.js';
import type {
  AppendEntriesRequest,
  AppendEntriesResponse,
  InstallSnapshotRequest,
  InstallSnapshotResponse,
  Member,
  RequestVoteRequest,
  RequestVoteResponse,
} from './types.js';

/** Sends messages from one address of the network. */
export class FakeTransport extends ConsensusTransport {
  public constructor(
    private readonly network: FakeNetwork,
    private readonly address: string,
  ) {
    super();
  }

  public override requestVote(to: Member, req: RequestVoteRequest): Promise<RequestVoteResponse> {
    return this.call(to, (handler) => handler.handleRequestVote(req));
  }

  public override appendEntries(
    to: Member,
    req: AppendEntriesRequest,
  ): Promise<AppendEntriesResponse> {
    return this.call(to, (handler) => handler.handleAppendEntries(req));
  }

  public override installSnapshot(
    to: Member,
    req: InstallSnapshotRequest,
  ): Promise<InstallSnapshotResponse> {
    return this.call(to, (handler) => handler.handleInstallSnapshot(req));
  }

  private call<T>(to: Member, call: MessageCall<T>): Promise<T> {
    return this.network.call(this.address, to.address, call);
  }
}
