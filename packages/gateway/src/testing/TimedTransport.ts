/** Transport of consensus messages with the time limits of the real one. */
import type { Clock } from '@marigoldbank/base/clock';
import {
  appendTimeoutMs,
  snapshotTimeoutMs,
  VOTE_TIMEOUT_MS,
} from '@marigoldbank/daemon/transport/ConnectConsensusTransport';
import {
  ConsensusTransport,
  type AppendEntriesRequest,
  type AppendEntriesResponse,
  type InstallSnapshotRequest,
  type InstallSnapshotResponse,
  type Member,
  type RequestVoteRequest,
  type RequestVoteResponse,
} from '@marigoldbank/replicated-log';

/** Rejects if the work takes longer. */
export function withTimeout<T>(clock: Clock, work: Promise<T>, timeoutMs: number): Promise<T> {
  return new Promise((resolve, reject) => {
    const timer = clock.setTimeout(() => reject(new Error('timed out')), timeoutMs);
    work.then(resolve, reject).finally(() => timer.dispose());
  });
}

export class TimedTransport extends ConsensusTransport {
  public constructor(
    private readonly clock: Clock,
    private readonly inner: ConsensusTransport,
  ) {
    super();
  }

  public override requestVote(to: Member, req: RequestVoteRequest): Promise<RequestVoteResponse> {
    return withTimeout(this.clock, this.inner.requestVote(to, req), VOTE_TIMEOUT_MS);
  }

  public override appendEntries(
    to: Member,
    req: AppendEntriesRequest,
  ): Promise<AppendEntriesResponse> {
    return withTimeout(this.clock, this.inner.appendEntries(to, req), appendTimeoutMs(req));
  }

  public override installSnapshot(
    to: Member,
    req: InstallSnapshotRequest,
  ): Promise<InstallSnapshotResponse> {
    return withTimeout(this.clock, this.inner.installSnapshot(to, req), snapshotTimeoutMs(req));
  }
}
