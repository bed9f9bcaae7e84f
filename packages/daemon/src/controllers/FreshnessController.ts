/** Keeps this entry current: polls control, and the peers while control does not answer. */
import { setPeriodic, type Clock } from '@marigoldbank/base/clock';
import { DisposableStore, type IDisposable } from '@marigoldbank/base/lifecycle';
import { EMPTY_CONFIG, type EntryRecord } from '@marigoldbank/fleet/config';
import { FreshnessTracker } from '@marigoldbank/fleet/FreshnessTracker';
import type { SharedState } from '../SharedState.js';
import type { PeerClient } from '../transport/PeerClient.js';
import type { ConfigController } from './ConfigController.js';
import type { ControlPoller } from './ControlPoller.js';
import { PeerConfirmation } from './PeerConfirmation.js';

const POLL_INTERVAL_MS = 500;

/**
 * Used after a failed poll, and while a revision in force here is not accepted, since the leader then needs further
 * reports.
 */
const HASTY_POLL_INTERVAL_MS = 100;

const FAILURES_BEFORE_PEERS = 2;

/** Failed polls in a row that are repeated hastily; a longer outage of control is left to the normal interval. */
const MAX_HASTY_FAILURES = 4;

export interface FreshnessControllerOptions {
  readonly clock: Clock;
  readonly sharedState: SharedState;
  readonly self: EntryRecord;
  readonly incarnation: string;
  readonly config: ConfigController;
  readonly control: ControlPoller;
  readonly peers: PeerClient;
  /** Internal addresses asked for a view by an entry that has none. */
  readonly knownAddresses: readonly string[];
}

export class FreshnessController extends DisposableStore {
  private readonly tracker: FreshnessTracker;

  private readonly confirmation: PeerConfirmation;

  private isPolling = false;

  private failures = 0;

  private hastyPoll: IDisposable | undefined;

  private leaderTimeMs = 0;

  private leaderTerm = 0;

  public constructor(private readonly options: FreshnessControllerOptions) {
    super();
    const { clock, self, config, peers, knownAddresses } = options;
    this.tracker = new FreshnessTracker(self.vm, clock);
    this.confirmation = new PeerConfirmation({
      self: self.vm,
      tracker: this.tracker,
      client: peers,
      knownAddresses,
      adopt: async (found) => {
        await config.adopt(found);
        this.trackConfig();
      },
      isDraining: () => this.isDraining,
    });
    this.trackConfig();
    this.add(setPeriodic(clock, () => this.startRound(), POLL_INTERVAL_MS));
    this.startRound();
  }

  public override dispose(): void {
    this.hastyPoll?.dispose();
    super.dispose();
  }

  private get isDraining(): boolean {
    return this.options.sharedState.lifecycle.value === 'leaving';
  }

  private startRound(): void {
    if (this.isPolling || this.isDisposed) return;
    this.isPolling = true;
    this.runRound()
      .catch(() => undefined)
      .finally(() => {
        this.isPolling = false;
        this.pollHastily();
      });
  }

  private pollHastily(): void {
    const { clock, sharedState, config } = this.options;
    this.hastyPoll?.dispose();
    this.hastyPoll = undefined;
    const isAccepted = sharedState.freshness.value.acceptedRevision >= config.revision;
    const isFailing = this.failures > 0 && this.failures <= MAX_HASTY_FAILURES;
    const isReporting = this.failures === 0 && !isAccepted;
    if (!isFailing && !isReporting) return;
    this.hastyPoll = clock.setTimeout(() => this.startRound(), HASTY_POLL_INTERVAL_MS);
  }

  private async runRound(): Promise<void> {
    const asksPeers = this.failures >= FAILURES_BEFORE_PEERS;
    const [isConfirmed] = await Promise.all([
      this.pollControl(),
      asksPeers ? this.askPeers() : undefined,
    ]);
    this.failures = isConfirmed ? 0 : this.failures + 1;
  }

  /** Path A. Resolves to whether the leader answered. */
  private async pollControl(): Promise<boolean> {
    const { config, control, sharedState, self, incarnation } = this.options;
    const poll = this.tracker.beginControlPoll();
    const answer = await control.poll({
      entry: self,
      incarnation,
      isDraining: this.isDraining,
      revision: config.revision,
      needsWholeConfig: config.config === undefined,
      leaderTimeMs: this.leaderTimeMs,
      leaderTerm: this.leaderTerm,
    });
    if (answer === undefined) return false;
    this.leaderTimeMs = answer.leaderTimeMs;
    this.leaderTerm = answer.leaderTerm;
    if (answer.config !== undefined) await config.adopt(answer.config);
    // A new fleet: holders of claims start from the empty view and have nothing to recover.
    if (answer.committedRevision === 0) await config.adopt(EMPTY_CONFIG);
    if (answer.changes.length > 0) {
      await config.adoptChanges(answer.changes, answer.committedRevision);
    }
    this.trackConfig();
    this.tracker.acceptControlAnswer(poll, answer.committedRevision);
    sharedState.peers.set({ current: answer.currentEntries });
    this.publish(answer.acceptedRevision);
    return true;
  }

  /** Path B. */
  private async askPeers(): Promise<void> {
    const found = await this.confirmation.run();
    this.options.sharedState.peers.set({ current: found.current });
    this.publish(found.acceptedRevision);
  }

  /** The section is set first: budgets adopt a view before it can renew currency. */
  private trackConfig(): void {
    const { config } = this.options.config;
    if (config !== undefined) this.tracker.adopt(config);
  }

  private publish(acceptedRevision: number): void {
    const { sharedState } = this.options;
    const known = sharedState.freshness.value.acceptedRevision;
    sharedState.freshness.set({
      currentUntil: this.tracker.currentUntil,
      source: this.tracker.source,
      acceptedRevision: Math.max(known, acceptedRevision),
    });
  }
}
