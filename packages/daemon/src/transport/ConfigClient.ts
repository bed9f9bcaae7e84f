/** Client that polls a control VM for the configuration. */
import { changeSchema, type Change } from '@marigoldbank/fleet/changes';
import { fleetConfigSchema, type EntryRecord, type FleetConfig } from '@marigoldbank/fleet/config';
import {
  ConfigService,
  type PollConfirmed,
} from '@marigoldbank/protocol/gen/marigoldbank/v1/config_pb';
import type { Channels } from './Channels.js';

/** Enough for one confirmed read. Two lost polls and a peer round must fit into the freshness of 2,000 ms. */
const CALL_TIMEOUT_MS = 300;

export interface ControlPoll {
  readonly entry: EntryRecord;
  readonly incarnation: string;
  readonly isDraining: boolean;
  readonly revision: number;
  readonly needsWholeConfig: boolean;
  /** Time and term in the last confirmed answer; 0 if there was none. */
  readonly leaderTimeMs: number;
  readonly leaderTerm: number;
}

export type ControlAnswer =
  | {
      readonly kind: 'confirmed';
      readonly committedRevision: number;
      readonly acceptedRevision: number;
      readonly acceptedAgeMs: number;
      readonly currentEntries: readonly string[];
      readonly changes: readonly Change[];
      readonly config: FleetConfig | undefined;
      readonly leaderTimeMs: number;
      readonly leaderTerm: number;
    }
  | { readonly kind: 'notLeader'; readonly leaderAddress: string | undefined };

const decoder = new TextDecoder();

function parseJson(data: Uint8Array): unknown {
  return JSON.parse(decoder.decode(data));
}

function toConfirmed(message: PollConfirmed): ControlAnswer {
  return {
    kind: 'confirmed',
    committedRevision: Number(message.committedRevision),
    acceptedRevision: Number(message.acceptedRevision),
    acceptedAgeMs: Number(message.acceptedAgeMs),
    currentEntries: message.currentEntries,
    leaderTimeMs: Number(message.leaderTimeMs),
    leaderTerm: Number(message.leaderTerm),
    changes: message.changes.map((change) => changeSchema.parse(parseJson(change))),
    config:
      message.config.length === 0 ? undefined : fleetConfigSchema.parse(parseJson(message.config)),
  };
}

export class ConfigClient {
  public constructor(private readonly channels: Channels) {}

  /** Polls one control VM. Rejects if no valid answer arrives in time. */
  public async poll(address: string, poll: ControlPoll): Promise<ControlAnswer> {
    const client = this.channels.client(ConfigService, address);
    const message = {
      ...poll,
      revision: BigInt(poll.revision),
      leaderTimeMs: BigInt(poll.leaderTimeMs),
      leaderTerm: BigInt(poll.leaderTerm),
    };
    const { result } = await client.poll(message, { timeoutMs: CALL_TIMEOUT_MS });
    if (result.case === 'confirmed') return toConfirmed(result.value);
    const leaderAddress = result.case === 'notLeader' ? result.value.leaderAddress : '';
    return { kind: 'notLeader', leaderAddress: leaderAddress === '' ? undefined : leaderAddress };
  }
}
