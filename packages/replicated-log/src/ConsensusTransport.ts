/** Transport between the members of a group. */
import type {
  AppendEntriesRequest,
  AppendEntriesResponse,
  InstallSnapshotRequest,
  InstallSnapshotResponse,
  Member,
  RequestVoteRequest,
  RequestVoteResponse,
} from './types.js';

/** Sends requests to other members. A rejected promise means that no answer came. */
export abstract class ConsensusTransport {
  public abstract requestVote(to: Member, req: RequestVoteRequest): Promise<RequestVoteResponse>;

  public abstract appendEntries(
    to: Member,
    req: AppendEntriesRequest,
  ): Promise<AppendEntriesResponse>;

  public abstract installSnapshot(
    to: Member,
    req: InstallSnapshotRequest,
  ): Promise<InstallSnapshotResponse>;
}
