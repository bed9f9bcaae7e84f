/** Confirms currency with a majority of the view's entries (path B). */
import type { EntryRecord, FleetConfig } from '@marigoldbank/fleet/config';
import type { FreshnessTracker, RoundStatus } from '@marigoldbank/fleet/FreshnessTracker';
import type { PeerRound } from '@marigoldbank/fleet/PeerRound';
import type { PeerAnswer, PeerClient } from '../transport/PeerClient.js';

/** A round is void when the view changes; more than two changes within one round are left to the next one. */
const MAX_ROUNDS = 3;

export interface PeerConfirmationOptions {
  readonly self: string;
  readonly tracker: FreshnessTracker;
  readonly client: PeerClient;
  readonly knownAddresses: readonly string[];
  /** Puts a configuration in force and notes it at the tracker. */
  readonly adopt: (config: FleetConfig) => Promise<void>;
  readonly isDraining: () => boolean;
}

/** What the peers said in the last round. */
export interface PeerFindings {
  /** Entries that are current and take new callers. */
  readonly current: readonly string[];
  readonly acceptedRevision: number;
}

interface AskedPeer {
  readonly record: EntryRecord;
  readonly answer: PeerAnswer;
}

const NOTHING_FOUND: PeerFindings = { current: [], acceptedRevision: 0 };

function toFindings(asked: readonly AskedPeer[]): PeerFindings {
  return {
    current: asked
      .filter(({ answer }) => answer.isCurrent && !answer.isDraining)
      .map(({ record }) => record.vm),
    acceptedRevision: Math.max(0, ...asked.map(({ answer }) => answer.acceptedRevision)),
  };
}

export class PeerConfirmation {
  public constructor(private readonly options: PeerConfirmationOptions) {}

  public async run(): Promise<PeerFindings> {
    const { tracker } = this.options;
    if (tracker.revision === 0) await this.proposeFromKnownAddresses();
    let findings = NOTHING_FOUND;
    for (let i = 0; i < MAX_ROUNDS; i += 1) {
      const round = tracker.beginPeerRound();
      if (round === undefined) return findings;
      const asked = await this.askAll(round);
      findings = toFindings(asked);
      const status = this.count(round, asked);
      if (status.kind === 'behind') await this.catchUp(status);
      if (status.kind === 'counted' || status.kind === 'open') return findings;
      if (tracker.isCurrent()) return findings;
    }
    return findings;
  }

  private async askAll(round: PeerRound): Promise<AskedPeer[]> {
    const { self, tracker, client, isDraining } = this.options;
    const req = { from: self, revision: tracker.revision, isDraining: isDraining() };
    const asked = await Promise.all(
      round.view.entries
        .filter((record) => record.vm !== self)
        .map(async (record): Promise<AskedPeer | undefined> => {
          try {
            const answer = await client.ask(record.internalAddress, req);
            // Counted as it arrives: a peer that does not answer must not delay the majority.
            tracker.acceptPeerAnswer(round, record.vm, answer.revision);
            return { record, answer };
          } catch {
            return undefined;
          }
        }),
    );
    return asked.filter((peer) => peer !== undefined);
  }

  private count(round: PeerRound, asked: readonly AskedPeer[]): RoundStatus {
    const { self, tracker } = this.options;
    const initial = tracker.acceptPeerAnswer(round, self, tracker.revision);
    return asked.reduce<RoundStatus>(
      (_, { record, answer }) => tracker.acceptPeerAnswer(round, record.vm, answer.revision),
      initial,
    );
  }

  /** Fetches the highest revision of the round; adopting it counts the round unless the view changes. */
  private async catchUp(status: Extract<RoundStatus, { kind: 'behind' }>): Promise<void> {
    const { tracker, client, adopt } = this.options;
    const source = tracker.beginPeerRound()?.view.entries.find(({ vm }) => vm === status.vm);
    if (source === undefined) return;
    try {
      const config = await client.fetchConfig(source.internalAddress, status.revision);
      if (config !== undefined && tracker.mayAdoptFromPeer(config)) await adopt(config);
    } catch {
      // The next round asks again.
    }
  }

  /** An entry without configuration learns a view from the addresses in its settings. */
  private async proposeFromKnownAddresses(): Promise<void> {
    const { client, knownAddresses, tracker } = this.options;
    const found = await Promise.all(
      knownAddresses.map((address) => client.fetchConfig(address, 1).catch(() => undefined)),
    );
    found
      .filter((config) => config !== undefined)
      .forEach((config) => tracker.offerCandidate(config));
  }
}
