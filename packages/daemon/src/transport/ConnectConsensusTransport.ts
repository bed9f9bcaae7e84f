/** Sends consensus messages over Connect. */
import { ConsensusService } from '@marigoldbank/protocol/gen/marigoldbank/v1/consensus_pb';
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
import type { Channels } from './Channels.js';
import {
  fromAppendEntries,
  fromInstallSnapshot,
  fromRequestVote,
  toAppendEntriesResponse,
  toInstallSnapshotResponse,
  toRequestVoteResponse,
} from './consensus-codec.js';

/** Shorter than the election timeout, so that a lost answer is detected before an election starts. */
export const CALL_TIMEOUT_MS = 250;

/** Longer than other calls, since the receiver syncs a snapshot chunk before it acknowledges it. */
export const SNAPSHOT_TIMEOUT_MS = 2_000;

export class ConnectConsensusTransport extends ConsensusTransport {
  public constructor(private readonly channels: Channels) {
    super();
  }

  public override async requestVote(
    to: Member,
    req: RequestVoteRequest,
  ): Promise<RequestVoteResponse> {
    const client = this.channels.client(ConsensusService, to.address);
    const options = { timeoutMs: CALL_TIMEOUT_MS };
    return toRequestVoteResponse(await client.requestVote(fromRequestVote(req), options));
  }

  public override async appendEntries(
    to: Member,
    req: AppendEntriesRequest,
  ): Promise<AppendEntriesResponse> {
    const client = this.channels.client(ConsensusService, to.address);
    const options = { timeoutMs: CALL_TIMEOUT_MS };
    return toAppendEntriesResponse(await client.appendEntries(fromAppendEntries(req), options));
  }

  public override async installSnapshot(
    to: Member,
    req: InstallSnapshotRequest,
  ): Promise<InstallSnapshotResponse> {
    const client = this.channels.client(ConsensusService, to.address);
    const options = { timeoutMs: SNAPSHOT_TIMEOUT_MS };
    const res = await client.installSnapshot(fromInstallSnapshot(req), options);
    return toInstallSnapshotResponse(res);
  }
}
