/** Sends consensus messages over Connect. */
import { ConsensusService } from '@marigoldbank/protocol/gen/marigoldbank/v1/consensus_pb';
import {
  ConsensusTransport,
  entryBytes,
  transferMs,
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

/**
 * A vote that comes late still counts in its term. VMs whose processes have just started need some tenths of a second for
 * one, and several elections ended without a leader while votes were given up after 250 ms.
 */
export const VOTE_TIMEOUT_MS = 2_000;

/** Entries are sent again well before that. An answer that comes late still shows that the follower is there. */
const APPEND_TIMEOUT_MS = 1_000;

/** Longer than other calls, since the receiver syncs a snapshot chunk before it acknowledges it. */
const SNAPSHOT_TIMEOUT_MS = 2_000;

/** A member needs the longer the larger a request is, and an answer that is given up has to be asked for again. */
export function appendTimeoutMs({ entries }: AppendEntriesRequest): number {
  return APPEND_TIMEOUT_MS + transferMs(entryBytes(entries));
}

export function snapshotTimeoutMs({ chunk }: InstallSnapshotRequest): number {
  return SNAPSHOT_TIMEOUT_MS + transferMs(chunk.length);
}

export class ConnectConsensusTransport extends ConsensusTransport {
  public constructor(private readonly channels: Channels) {
    super();
  }

  public override async requestVote(
    to: Member,
    req: RequestVoteRequest,
  ): Promise<RequestVoteResponse> {
    const client = this.channels.client(ConsensusService, to.address);
    const options = { timeoutMs: VOTE_TIMEOUT_MS };
    return toRequestVoteResponse(await client.requestVote(fromRequestVote(req), options));
  }

  public override async appendEntries(
    to: Member,
    req: AppendEntriesRequest,
  ): Promise<AppendEntriesResponse> {
    const client = this.channels.client(ConsensusService, to.address);
    const options = { timeoutMs: appendTimeoutMs(req) };
    return toAppendEntriesResponse(await client.appendEntries(fromAppendEntries(req), options));
  }

  public override async installSnapshot(
    to: Member,
    req: InstallSnapshotRequest,
  ): Promise<InstallSnapshotResponse> {
    const client = this.channels.client(ConsensusService, to.address);
    const options = { timeoutMs: snapshotTimeoutMs(req) };
    const res = await client.installSnapshot(fromInstallSnapshot(req), options);
    return toInstallSnapshotResponse(res);
  }
}
