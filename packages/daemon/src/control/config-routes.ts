/** Connect service of a control VM that answers the polls of entries. */
import type { ConnectRouter } from '@connectrpc/connect';
import type { MessageInitShape } from '@bufbuild/protobuf';
import {
  ConfigService,
  type EntryAddress,
  type NotLeaderSchema,
  type PollRequest,
  type PollResponseSchema,
} from '@marigoldbank/protocol/gen/marigoldbank/v1/config_pb';
import type { EntryRecord } from '@marigoldbank/fleet/config';
import type { ControlNode } from './ControlNode.js';
import type { ConfigUpdate, EntryReport, NotLeader, PollOutcome } from './types.js';

const encoder = new TextEncoder();

/** Serialises a value as JSON bytes. */
export function toJsonBytes(value: unknown): Uint8Array {
  return encoder.encode(JSON.stringify(value));
}

export function toNotLeaderMessage(outcome: NotLeader): MessageInitShape<typeof NotLeaderSchema> {
  return { leaderAddress: outcome.leaderAddress ?? '' };
}

function toEntryRecord(message: EntryAddress | undefined): EntryRecord {
  return {
    vm: message?.vm ?? '',
    dataCentre: message?.dataCentre ?? '',
    callerAddress: message?.callerAddress ?? '',
    internalAddress: message?.internalAddress ?? '',
  };
}

function toReport(req: PollRequest): EntryReport {
  return {
    entry: toEntryRecord(req.entry),
    incarnation: req.incarnation,
    isDraining: req.isDraining,
    revision: Number(req.revision),
    needsWholeConfig: req.needsWholeConfig,
    leaderTimeMs: Number(req.leaderTimeMs),
    leaderTerm: Number(req.leaderTerm),
  };
}

function toUpdateFields(update: ConfigUpdate): { config?: Uint8Array; changes?: Uint8Array[] } {
  switch (update.kind) {
    case 'config':
      return { config: toJsonBytes(update.config) };
    case 'changes':
      return { changes: update.changes.map(toJsonBytes) };
    default:
      return {};
  }
}

function toPollResponse(outcome: PollOutcome): MessageInitShape<typeof PollResponseSchema> {
  if (outcome.kind === 'notLeader') {
    return { result: { case: 'notLeader', value: toNotLeaderMessage(outcome) } };
  }
  return {
    result: {
      case: 'confirmed',
      value: {
        committedRevision: BigInt(outcome.committedRevision),
        acceptedRevision: BigInt(outcome.acceptedRevision),
        acceptedAgeMs: BigInt(Math.round(outcome.acceptedAgeMs)),
        currentEntries: [...outcome.currentEntries],
        leaderTimeMs: BigInt(outcome.leaderTimeMs),
        leaderTerm: BigInt(outcome.leaderTerm),
        ...toUpdateFields(outcome.update),
      },
    },
  };
}

/** Registers the configuration service of a control VM. */
export function registerConfig(router: ConnectRouter, node: ControlNode): void {
  router.service(ConfigService, {
    poll: async (req) => toPollResponse(await node.poll(toReport(req))),
  });
}
