/** Converts consensus messages between the types of the replicated log and protobuf. */
import type { MessageInitShape } from '@bufbuild/protobuf';
import type * as pb from '@marigoldbank/protocol/gen/marigoldbank/v1/consensus_pb';
import type {
  AppendEntriesRequest,
  AppendEntriesResponse,
  InstallSnapshotRequest,
  InstallSnapshotResponse,
  LogEntry,
  LogEntryKind,
  Member,
  Membership,
  RequestVoteRequest,
  RequestVoteResponse,
} from '@marigoldbank/replicated-log';

const EMPTY_MEMBER: Member = { vm: '', incarnation: '', address: '' };

const ENTRY_KINDS: Readonly<Record<string, LogEntryKind>> = {
  noop: 'noop',
  membership: 'membership',
  command: 'command',
};

export function toMember(message: pb.Member | undefined): Member {
  if (message === undefined) return EMPTY_MEMBER;
  return { vm: message.vm, incarnation: message.incarnation, address: message.address };
}

function toMembership(message: pb.Membership | undefined): Membership {
  return {
    voters: (message?.voters ?? []).map(toMember),
    learners: (message?.learners ?? []).map(toMember),
  };
}

function toLogEntry(message: pb.LogEntry): LogEntry {
  const kind = ENTRY_KINDS[message.kind];
  if (kind === undefined) throw new RangeError(`unknown kind of log entry: ${message.kind}`);
  return { index: Number(message.index), term: Number(message.term), kind, data: message.data };
}

export function toRequestVote(message: pb.RequestVoteRequest): RequestVoteRequest {
  return {
    candidate: toMember(message.candidate),
    term: Number(message.term),
    lastIndex: Number(message.lastIndex),
    lastTerm: Number(message.lastTerm),
    isPreVote: message.isPreVote,
    toIncarnation: message.toIncarnation,
  };
}

export function fromRequestVote(
  req: RequestVoteRequest,
): MessageInitShape<typeof pb.RequestVoteRequestSchema> {
  return {
    ...req,
    term: BigInt(req.term),
    lastIndex: BigInt(req.lastIndex),
    lastTerm: BigInt(req.lastTerm),
  };
}

export function toRequestVoteResponse(message: pb.RequestVoteResponse): RequestVoteResponse {
  return { term: Number(message.term), granted: message.granted };
}

export function toAppendEntries(message: pb.AppendEntriesRequest): AppendEntriesRequest {
  return {
    leader: toMember(message.leader),
    term: Number(message.term),
    previousIndex: Number(message.previousIndex),
    previousTerm: Number(message.previousTerm),
    entries: message.entries.map(toLogEntry),
    commitIndex: Number(message.commitIndex),
    toIncarnation: message.toIncarnation,
  };
}

export function fromAppendEntries(
  req: AppendEntriesRequest,
): MessageInitShape<typeof pb.AppendEntriesRequestSchema> {
  return {
    leader: req.leader,
    term: BigInt(req.term),
    previousIndex: BigInt(req.previousIndex),
    previousTerm: BigInt(req.previousTerm),
    entries: req.entries.map((entry) => ({
      index: BigInt(entry.index),
      term: BigInt(entry.term),
      kind: entry.kind,
      data: entry.data,
    })),
    commitIndex: BigInt(req.commitIndex),
    toIncarnation: req.toIncarnation,
  };
}

export function toAppendEntriesResponse(message: pb.AppendEntriesResponse): AppendEntriesResponse {
  return {
    term: Number(message.term),
    success: message.success,
    matchIndex: Number(message.matchIndex),
  };
}

export function toInstallSnapshot(message: pb.InstallSnapshotRequest): InstallSnapshotRequest {
  return {
    leader: toMember(message.leader),
    term: Number(message.term),
    lastIndex: Number(message.lastIndex),
    lastTerm: Number(message.lastTerm),
    membership: toMembership(message.membership),
    offset: Number(message.offset),
    chunk: message.chunk,
    isLast: message.isLast,
    toIncarnation: message.toIncarnation,
  };
}

export function fromInstallSnapshot(
  req: InstallSnapshotRequest,
): MessageInitShape<typeof pb.InstallSnapshotRequestSchema> {
  return {
    leader: req.leader,
    term: BigInt(req.term),
    lastIndex: BigInt(req.lastIndex),
    lastTerm: BigInt(req.lastTerm),
    membership: { voters: [...req.membership.voters], learners: [...req.membership.learners] },
    offset: BigInt(req.offset),
    chunk: req.chunk,
    isLast: req.isLast,
    toIncarnation: req.toIncarnation,
  };
}

export function toInstallSnapshotResponse(
  message: pb.InstallSnapshotResponse,
): InstallSnapshotResponse {
  return { term: Number(message.term), success: message.success };
}
