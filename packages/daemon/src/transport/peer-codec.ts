/** Converts the messages that entries exchange between the types of the packages and protobuf. */
import type { MessageInitShape } from '@bufbuild/protobuf';
import type * as budgets from '@marigoldbank/budgets';
import type * as claims from '@marigoldbank/claims';
import type * as ejection from '@marigoldbank/ejection';
import type * as pb from '@marigoldbank/protocol/gen/marigoldbank/v1/peer_pb';

const PER_MILLE = 1_000;

const MAX_UINT32 = 0xffffffff;

const ANNOUNCED_STATES: Readonly<Record<string, ejection.AnnouncedState>> = {
  up: 'up',
  draining: 'draining',
  leaving: 'leaving',
};

const ROTATION_STATUSES: Readonly<Record<string, ejection.RotationStatus>> = {
  inRotation: 'inRotation',
  ejected: 'ejected',
  probation: 'probation',
};

const CLAIM_STATES: Readonly<Record<string, claims.ClaimState>> = {
  pending: 'pending',
  done: 'done',
  released: 'released',
};

const CLAIM_RESULTS: Readonly<Record<string, claims.ClaimResponse['result']>> = {
  granted: 'granted',
  taken: 'taken',
  recovering: 'recovering',
  wrongEpoch: 'wrongEpoch',
};

function lookup<T>(table: Readonly<Record<string, T>>, name: string, what: string): T {
  const value = table[name];
  if (value === undefined) throw new RangeError(`unknown ${what}: ${name}`);
  return value;
}

export function toAnnouncement(message: pb.Announcement): ejection.Announcement {
  return {
    service: message.service,
    target: message.target,
    address: message.address,
    dataCentre: message.dataCentre,
    incarnation: Number(message.incarnation),
    sequence: Number(message.sequence),
    state: lookup(ANNOUNCED_STATES, message.state, 'announced state'),
    slots: message.slots,
    maxConnections: message.maxConnections,
    isCold: message.isCold,
    ageMs: message.ageMs,
  };
}

export function fromAnnouncement(
  announcement: ejection.Announcement,
): MessageInitShape<typeof pb.AnnouncementSchema> {
  return {
    ...announcement,
    incarnation: BigInt(announcement.incarnation),
    sequence: BigInt(announcement.sequence),
    // Rounded up, so that an announcement never appears younger than it is.
    ageMs: Math.ceil(announcement.ageMs),
  };
}

export function toCoordinateRequest(message: pb.CoordinateRequest): ejection.CoordinateRequest {
  return {
    from: message.from,
    service: message.service,
    revision: Number(message.revision),
    digests: message.digests,
    lost: message.lost,
    cleared: message.cleared,
  };
}

export function fromCoordinateRequest(
  req: ejection.CoordinateRequest,
): MessageInitShape<typeof pb.CoordinateRequestSchema> {
  return {
    from: req.from,
    service: req.service,
    revision: BigInt(req.revision),
    digests: req.digests.map((digest) => ({
      ...digest,
      latencyBuckets: [...digest.latencyBuckets],
    })),
    lost: [...req.lost],
    cleared: [...req.cleared],
  };
}

function toTargetStatus(message: pb.TargetStatus): ejection.TargetStatus {
  if (message.announcement === undefined) throw new RangeError('status without announcement');
  return {
    announcement: toAnnouncement(message.announcement),
    status: lookup(ROTATION_STATUSES, message.status, 'rotation status'),
    share: message.sharePerMille / PER_MILLE,
    fleetOutstanding: message.fleetOutstanding,
    reason: message.reason,
  };
}

export function toCoordinateResponse(message: pb.CoordinateResponse): ejection.CoordinateResponse {
  return {
    targets: message.targets.map(toTargetStatus),
    suspectedReporters: message.suspectedReporters,
    quarantined: message.quarantined,
    suspectedFingerprints: message.suspectedFingerprints,
  };
}

export function fromCoordinateResponse(
  res: ejection.CoordinateResponse,
): MessageInitShape<typeof pb.CoordinateResponseSchema> {
  return {
    targets: res.targets.map((target) => ({
      announcement: fromAnnouncement(target.announcement),
      status: target.status,
      sharePerMille: Math.round(target.share * PER_MILLE),
      fleetOutstanding: target.fleetOutstanding,
      reason: target.reason,
    })),
    suspectedReporters: [...res.suspectedReporters],
    quarantined: [...res.quarantined],
    suspectedFingerprints: [...res.suspectedFingerprints],
  };
}

export function toBorrowRequest(message: pb.BorrowRequest): budgets.BorrowRequest {
  return {
    from: message.from,
    viewEpoch: Number(message.viewEpoch),
    items: message.items,
    reports: message.reports,
  };
}

export function fromBorrowRequest(
  req: budgets.BorrowRequest,
): MessageInitShape<typeof pb.BorrowRequestSchema> {
  return {
    from: req.from,
    viewEpoch: BigInt(req.viewEpoch),
    items: req.items.map((item) => ({ ...item, urgent: item.urgent ?? item.wanted })),
    reports: [...(req.reports ?? [])],
  };
}

export function fromBorrowResponse(
  res: budgets.BorrowResponse,
): MessageInitShape<typeof pb.BorrowResponseSchema> {
  return {
    items: res.items.map((item) => ({
      team: item.team,
      granted: item.granted,
      retryAfterMs: Math.min(MAX_UINT32, Math.ceil(item.retryAfterMs)),
      loan: item.loan ?? '',
    })),
  };
}

function toClaimRecord(message: pb.ClaimRecord | undefined): claims.ClaimRecord {
  if (message === undefined) throw new RangeError('message without claim record');
  return {
    team: message.team,
    key: message.key,
    owner: message.owner,
    claimId: message.claimId,
    fingerprint: message.fingerprint,
    state: lookup(CLAIM_STATES, message.state, 'claim state'),
    outcome: message.outcome.length === 0 ? undefined : message.outcome,
    ageMs: message.ageMs,
  };
}

function fromClaimRecord(
  record: claims.ClaimRecord,
): MessageInitShape<typeof pb.ClaimRecordSchema> {
  return {
    ...record,
    outcome: record.outcome ?? new Uint8Array(),
    ageMs: Math.ceil(record.ageMs),
  };
}

function toIncarnations(messages: readonly pb.HolderIncarnation[]): claims.HolderIncarnation[] {
  return messages.map((item) => ({ vm: item.vm, incarnation: Number(item.incarnation) }));
}

function fromIncarnations(
  items: readonly claims.HolderIncarnation[],
): MessageInitShape<typeof pb.HolderIncarnationSchema>[] {
  return items.map((item) => ({ vm: item.vm, incarnation: BigInt(item.incarnation) }));
}

export function toClaimRequest(
  message: pb.ClaimRequest | pb.ResolveClaimRequest,
): claims.ClaimRequest {
  return {
    from: message.from,
    viewEpoch: Number(message.viewEpoch),
    record: toClaimRecord(message.record),
  };
}

/** Fields of both ClaimRequest and ResolveClaimRequest. */
interface ClaimRequestFields {
  from: string;
  viewEpoch: bigint;
  record: MessageInitShape<typeof pb.ClaimRecordSchema>;
}

export function fromClaimRequest(req: claims.ClaimRequest): ClaimRequestFields {
  return {
    from: req.from,
    viewEpoch: BigInt(req.viewEpoch),
    record: fromClaimRecord(req.record),
  };
}

export function toClaimResponse(message: pb.ClaimResponse): claims.ClaimResponse {
  return {
    result: lookup(CLAIM_RESULTS, message.result, 'claim result'),
    existing: message.existing === undefined ? undefined : toClaimRecord(message.existing),
    holder: message.holder,
    incarnations: toIncarnations(message.incarnations),
    viewEpoch: Number(message.viewEpoch),
  };
}

export function fromClaimResponse(
  res: claims.ClaimResponse,
): MessageInitShape<typeof pb.ClaimResponseSchema> {
  return {
    result: res.result,
    existing: res.existing === undefined ? undefined : fromClaimRecord(res.existing),
    holder: res.holder,
    incarnations: fromIncarnations(res.incarnations),
    viewEpoch: BigInt(res.viewEpoch),
  };
}

export function toRecoverRequest(message: pb.RecoverClaimsRequest): claims.RecoverClaimsRequest {
  return {
    from: message.from,
    incarnation: Number(message.incarnation),
    viewEpoch: Number(message.viewEpoch),
    shards: message.shards,
  };
}

export function fromRecoverRequest(
  req: claims.RecoverClaimsRequest,
): MessageInitShape<typeof pb.RecoverClaimsRequestSchema> {
  return {
    from: req.from,
    incarnation: BigInt(req.incarnation),
    viewEpoch: BigInt(req.viewEpoch),
    shards: [...req.shards],
  };
}

function toRecoveredShard(message: pb.RecoveredShard): claims.RecoveredShard {
  const { shard, viewEpoch, handsOverFrom } = message;
  const handover = handsOverFrom === undefined ? {} : { handsOverFrom: Number(handsOverFrom) };
  return { shard, viewEpoch: Number(viewEpoch), ...handover };
}

function fromRecoveredShard(
  item: claims.RecoveredShard,
): MessageInitShape<typeof pb.RecoveredShardSchema> {
  const { shard, viewEpoch, handsOverFrom } = item;
  const handover = handsOverFrom === undefined ? {} : { handsOverFrom: BigInt(handsOverFrom) };
  return { shard, viewEpoch: BigInt(viewEpoch), ...handover };
}

export function toRecoverResponse(message: pb.RecoverClaimsResponse): claims.RecoverClaimsResponse {
  return {
    records: message.records.map(toClaimRecord),
    shards: message.shards.map(toRecoveredShard),
    incarnations: toIncarnations(message.incarnations),
  };
}

export function fromRecoverResponse(
  res: claims.RecoverClaimsResponse,
): MessageInitShape<typeof pb.RecoverClaimsResponseSchema> {
  return {
    records: res.records.map(fromClaimRecord),
    shards: res.shards.map(fromRecoveredShard),
    incarnations: fromIncarnations(res.incarnations),
  };
}
