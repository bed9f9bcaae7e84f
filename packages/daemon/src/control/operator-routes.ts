/** Operator methods of a control VM, called by the command line. */
import { Code, ConnectError, type ServiceImpl } from '@connectrpc/connect';
import type { MessageInitShape } from '@bufbuild/protobuf';
import { changeSchema, type Change } from '@marigoldbank/fleet/changes';
import {
  OperatorService,
  type ChangeMembershipRequest,
  type ChangeMembershipResponseSchema,
  type EntryStatusSchema,
  type FleetStatusSchema,
  type ProposeResponseSchema,
  type VoterStatusSchema,
} from '@marigoldbank/protocol/gen/marigoldbank/v1/operator_pb';
import type {
  IReplicatedLog,
  LogStatus,
  Member,
  MembershipOutcome,
} from '@marigoldbank/replicated-log';
import { toMember } from '../transport/consensus-codec.js';
import { toJsonBytes, toNotLeaderMessage } from './config-routes.js';
import type { ControlNode } from './ControlNode.js';
import type { EntryState, FleetStatus, NotLeader, ProposalOutcome } from './types.js';

interface NotLeaderResult {
  result: { case: 'notLeader'; value: ReturnType<typeof toNotLeaderMessage> };
}

function toNotLeaderResult(outcome: NotLeader): NotLeaderResult {
  return { result: { case: 'notLeader', value: toNotLeaderMessage(outcome) } };
}

/** Changes that only the control VMs may propose. */
const INTERNAL_KINDS: ReadonlySet<Change['kind']> = new Set([
  'joinEntries',
  'patchLists',
  'acceptView',
]);

function parseChange(data: Uint8Array): Change {
  let json: unknown;
  try {
    json = JSON.parse(new TextDecoder().decode(data));
  } catch {
    throw new ConnectError('the change is not JSON', Code.InvalidArgument);
  }
  const parsed = changeSchema.safeParse(json);
  if (!parsed.success) {
    const issue = parsed.error.issues[0];
    const path = issue?.path.join('.') ?? '';
    throw new ConnectError(`invalid change at "${path}": ${issue?.message}`, Code.InvalidArgument);
  }
  if (INTERNAL_KINDS.has(parsed.data.kind)) {
    throw new ConnectError(`operators may not send ${parsed.data.kind}`, Code.InvalidArgument);
  }
  return parsed.data;
}

function toProposeResponse(
  outcome: ProposalOutcome,
): MessageInitShape<typeof ProposeResponseSchema> {
  switch (outcome.kind) {
    case 'notLeader':
      return toNotLeaderResult(outcome);
    case 'unknown':
      return { result: { case: 'unknown', value: {} } };
    default: {
      const value = { result: toJsonBytes(outcome.result), revision: BigInt(outcome.revision) };
      return { result: { case: 'recorded', value } };
    }
  }
}

function toAge(ageMs: number | undefined): bigint {
  return BigInt(Math.round(ageMs ?? Number.MAX_SAFE_INTEGER));
}

function toEntryStatus(state: EntryState): MessageInitShape<typeof EntryStatusSchema> {
  return {
    entry: state.record,
    revision: BigInt(state.revision),
    isCurrent: state.isCurrent,
    isDraining: state.isDraining,
    lastPollAgeMs: toAge(state.lastPollAgeMs),
  };
}

function isSameMember(a: Member, b: Member): boolean {
  return a.vm === b.vm && a.incarnation === b.incarnation;
}

function toVoterStatuses(
  log: LogStatus,
  now: number,
): MessageInitShape<typeof VoterStatusSchema>[] {
  const toStatus =
    (isLearner: boolean) =>
    (member: Member): MessageInitShape<typeof VoterStatusSchema> => {
      const isLeader = isSameMember(member, log.self);
      const progress = log.progress.find((item) => isSameMember(item.member, member));
      const matchIndex = isLeader ? log.lastIndex : (progress?.matchIndex ?? 0);
      const contactAt = isLeader ? now : progress?.lastContactAt;
      return {
        member: { ...member },
        isLearner,
        isLeader,
        matchIndex: BigInt(matchIndex),
        lastContactAgeMs: toAge(contactAt === undefined ? undefined : now - contactAt),
      };
    };
  return [
    ...log.membership.voters.map(toStatus(false)),
    ...log.membership.learners.map(toStatus(true)),
  ];
}

function toFleetStatus(
  status: FleetStatus,
  now: number,
): MessageInitShape<typeof FleetStatusSchema> {
  return {
    revision: BigInt(status.revision),
    listsRevision: BigInt(status.listsRevision),
    acceptedRevision: BigInt(status.acceptedRevision),
    term: BigInt(status.log.term),
    commitIndex: BigInt(status.log.commitIndex),
    entries: status.entries.map(toEntryStatus),
    voters: toVoterStatuses(status.log, now),
  };
}

const STEP_MISSING: MembershipOutcome = { kind: 'rejected', reason: 'the step is missing' };

/** Answers a step that is already done as committed, since the command line may repeat steps. */
async function changeMembership(
  log: IReplicatedLog,
  req: ChangeMembershipRequest,
): Promise<MembershipOutcome> {
  const { membership } = log.status();
  const { step } = req;
  if (step.case === undefined) return STEP_MISSING;
  const member = toMember(step.value);
  const isVoter = membership.voters.some((other) => isSameMember(other, member));
  const isLearner = membership.learners.some((other) => isSameMember(other, member));
  const done: MembershipOutcome = { kind: 'committed', membership };
  switch (step.case) {
    case 'addLearner':
      return isVoter || isLearner ? done : log.addLearner(member);
    case 'promoteLearner':
      return isVoter ? done : log.promoteLearner(member.vm);
    default:
      return isVoter || isLearner ? log.removeMember(member.vm, member.incarnation) : done;
  }
}

function toMembershipResponse(
  outcome: MembershipOutcome,
): MessageInitShape<typeof ChangeMembershipResponseSchema> {
  switch (outcome.kind) {
    case 'notLeader': {
      const value = { leaderAddress: outcome.leader?.address ?? '' };
      return { result: { case: 'notLeader', value } };
    }
    case 'unknown':
      return { result: { case: 'unknown', value: {} } };
    case 'rejected':
      return { result: { case: 'rejected', value: { reason: outcome.reason } } };
    default: {
      const { voters, learners } = outcome.membership;
      const value = {
        voters: voters.map((member) => ({ ...member })),
        learners: learners.map((member) => ({ ...member })),
      };
      return { result: { case: 'committed', value } };
    }
  }
}

/** Creates the handlers of the operator methods. */
export function createOperatorService(
  node: ControlNode,
): Partial<ServiceImpl<typeof OperatorService>> {
  return {
    propose: async (req) => toProposeResponse(await node.propose(parseChange(req.change))),
    changeStatus: async (req) => {
      const outcome = await node.changeProgress(Number(req.revision));
      if (outcome.kind === 'notLeader') return toNotLeaderResult(outcome);
      const { isAccepted, entriesInForce, entriesTotal, missing } = outcome;
      const value = { isAccepted, entriesInForce, entriesTotal, missing: [...missing] };
      return { result: { case: 'progress', value } };
    },
    status: async () => {
      const outcome = await node.status();
      if (outcome.kind === 'notLeader') return toNotLeaderResult(outcome);
      return { result: { case: 'status', value: toFleetStatus(outcome, node.clock.now()) } };
    },
    getLists: async () => {
      const outcome = await node.readConfig();
      if (outcome.kind === 'notLeader') return toNotLeaderResult(outcome);
      const { config } = outcome;
      const value = {
        listsRevision: BigInt(config.listsRevision),
        revision: BigInt(config.revision),
        content: toJsonBytes({ lists: config.lists, keyIds: Object.keys(config.keys) }),
      };
      return { result: { case: 'lists', value } };
    },
    audit: async (req) => {
      const outcome = await node.audit(Number(req.fromSequence), req.limit);
      if (outcome.kind === 'notLeader') return toNotLeaderResult(outcome);
      const value = { records: toJsonBytes(outcome.records), total: BigInt(outcome.total) };
      return { result: { case: 'page', value } };
    },
    identity: () => ({ member: { ...node.log.status().self } }),
    changeMembership: async (req) => toMembershipResponse(await changeMembership(node.log, req)),
    backup: async () => {
      const outcome = await node.backup();
      if (outcome.kind === 'notLeader') return toNotLeaderResult(outcome);
      const value = { content: outcome.content, revision: BigInt(outcome.revision) };
      return { result: { case: 'backup', value } };
    },
  };
}
