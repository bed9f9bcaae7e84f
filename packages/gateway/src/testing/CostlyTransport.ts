/** Transport of consensus messages whose bytes take processor time to send. */
import {
  ConsensusTransport,
  entryBytes,
  type AppendEntriesRequest,
  type AppendEntriesResponse,
  type InstallSnapshotRequest,
  type InstallSnapshotResponse,
  type Member,
  type RequestVoteRequest,
  type RequestVoteResponse,
} from '@marigoldbank/replicated-log';

export class CostlyTransport extends ConsensusTransport {
  public constructor(
    private readonly inner: ConsensusTransport,
    private readonly spend: (bytes: number) => Promise<void>,
    private readonly onSend: (bytes: number) => void,
  ) {
    super();
  }

  public override requestVote(to: Member, req: RequestVoteRequest): Promise<RequestVoteResponse> {
    return this.inner.requestVote(to, req);
  }

  public override async appendEntries(
    to: Member,
    req: AppendEntriesRequest,
  ): Promise<AppendEntriesResponse> {
    const bytes = entryBytes(req.entries);
    this.onSend(bytes);
    await this.spend(bytes);
    return this.inner.appendEntries(to, req);
  }

  public override async installSnapshot(
    to: Member,
    req: InstallSnapshotRequest,
  ): Promise<InstallSnapshotResponse> {
    await this.spend(req.chunk.length);
    return this.inner.installSnapshot(to, req);
  }
}
