/** Confirms with a majority of the view's entries that this entry is current (path B). */
import type { EntryRecord, FleetConfig } from '@marigoldbank/fleet/config';
import type { FreshnessTracker, RoundStatus } from '@marigoldbank/fleet/FreshnessTracker';
import type { PeerRound } from '@marigoldbank/fleet/PeerRound';
import type { PeerAnswer, PeerClient } from '../transport/PeerClient.js';

/** Rounds per run. A change of the view voids a round; after more than two changes, the next run tries again. */
const MAX_ROUNDS = 3;

export interface PeerConfirmationOptions {
  readonly self: string;
  readonly tracker: FreshnessTracker;
  readonly client: PeerClient;
  readonly knownAddresses: readonly string[];
  /** Puts a configuration in force and passes it to the tracker. */
  readonly adopt: (config: FleetConfig) => Promise<void>;
  readonly isDraining: () => boolean;
}

/** Result of the last round. */
export interface PeerRoundResult {
  /** Entries that are current and take new callers. */
  readonly current: readonly string[];
  readonly acceptedRevision: number;
}

interface AskedPeer {
  readonly record: EntryRecord;
  readonly answer: PeerAnswer;
}

const EMPTY_RESULT: PeerRoundResult = { current: [], acceptedRevision: 0 };

function toResult(asked: readonly AskedPeer[]): PeerRoundResult {
  return {
    current: asked
      .filter(({ answer }) => answer.isCurrent && !answer.isDraining)
      .map(({ record }) => record.vm),
    acceptedRevision: Math.max(0, ...asked.map(({ answer }) => answer.acceptedRevision)),
  };
}

export class PeerConfirmation {
  public constructor(private readonly options: PeerConfirmationOptions) {}

  public async run(): Promise<PeerRoundResult> {
    const { tracker } = this.options;
    if (tracker.revision === 0) await this.fetchCandidates();
    let result = EMPTY_RESULT;
    for (let i = 0; i < MAX_ROUNDS; i += 1) {
      const round = tracker.beginPeerRound();
      if (round === undefined) return result;
      const asked = await this.askAll(round);
      result = toResult(asked);
      const status = this.evaluate(round, asked);
      if (status.kind === 'behind') await this.catchUp(status);
      if (status.kind === 'counted' || status.kind === 'open') return result;
      if (tracker.isCurrent()) return result;
    }
    return result;
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
            // Counted on arrival, so that a peer that does not answer cannot delay the majority.
            tracker.acceptPeerAnswer(round, record.vm, answer.revision);
            return { record, answer };
          } catch {
            return undefined;
          }
        }),
    );
    return asked.filter((peer) => peer !== undefined);
  }

  private evaluate(round: PeerRound, asked: readonly AskedPeer[]): RoundStatus {
    const { self, tracker } = this.options;
    const initial = tracker.acceptPeerAnswer(round, self, tracker.revision);
    return asked.reduce<RoundStatus>(
      (_, { record, answer }) => tracker.acceptPeerAnswer(round, record.vm, answer.revision),
      initial,
    );
  }

  /** Fetches and adopts the highest revision of the round. The round then counts, unless the view has changed. */
  private async catchUp(status: Extract<RoundStatus, { kind: 'behind' }>): Promise<void> {
    const { tracker, client, adopt } = this.options;
    const source = tracker.beginPeerRound()?.view.entries.find(({ vm }) => vm === status.vm);
    if (source === undefined) return;
    try {
      const config = await client.fetchConfig(source.internalAddress, status.revision);
      if (config !== undefined && tracker.mayAdoptFromPeer(config)) await adopt(config);
    } catch {
      // The next round fetches it again.
    }
  }

  /** Gets a view for an entry without configuration, from the peer addresses in its settings. */
  private async fetchCandidates(): Promise<void> {
    const { client, knownAddresses, tracker } = this.options;
    const found = await Promise.all(
      knownAddresses.map((address) => client.fetchConfig(address, 1).catch(() => undefined)),
    );
    found
      .filter((config) => config !== undefined)
      .forEach((config) => tracker.offerCandidate(config));
  }
}
