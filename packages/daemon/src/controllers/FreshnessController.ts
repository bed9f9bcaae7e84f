/** Keeps this entry current by polling control, and by asking the peers while control does not answer. */
import { setPeriodic, type Clock } from '@marigoldbank/base/clock';
import { DisposableStore, type IDisposable } from '@marigoldbank/base/lifecycle';
import { EMPTY_CONFIG, type EntryRecord } from '@marigoldbank/fleet/config';
import { FreshnessTracker } from '@marigoldbank/fleet/FreshnessTracker';
import type { Blackboard } from '../Blackboard.js';
import type { PeerClient } from '../transport/PeerClient.js';
import type { ConfigController } from './ConfigController.js';
import type { ControlPoller } from './ControlPoller.js';
import { PeerConfirmation } from './PeerConfirmation.js';

const POLL_INTERVAL_MS = 500;

/**
 * Interval after a failed poll, and while the revision in force here is not accepted: the leader then needs further
 * reports of this entry.
 */
const SHORT_POLL_INTERVAL_MS = 100;

/** Consecutive failed polls of control after which the peers are asked as well. */
const FAILURES_BEFORE_PEERS = 2;

/** Consecutive failed polls that are retried at the short interval. In a longer outage, the normal interval applies. */
const MAX_SHORT_INTERVAL_FAILURES = 4;

export interface FreshnessControllerOptions {
  readonly clock: Clock;
  readonly blackboard: Blackboard;
  readonly self: EntryRecord;
  readonly incarnation: string;
  readonly config: ConfigController;
  readonly control: ControlPoller;
  readonly peers: PeerClient;
  /** Internal addresses of entries that are asked for a configuration while this entry has none. */
  readonly knownAddresses: readonly string[];
}

export class FreshnessController extends DisposableStore {
  private readonly tracker: FreshnessTracker;

  private readonly confirmation: PeerConfirmation;

  private isPolling = false;

  private failures = 0;

  private earlyPoll: IDisposable | undefined;

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
    this.earlyPoll?.dispose();
    super.dispose();
  }

  private get isDraining(): boolean {
    return this.options.blackboard.lifecycle.value === 'leaving';
  }

  private startRound(): void {
    if (this.isPolling || this.isDisposed) return;
    this.isPolling = true;
    this.runRound()
      .catch(() => undefined)
      .finally(() => {
        this.isPolling = false;
        this.scheduleEarlyPoll();
      });
  }

  private scheduleEarlyPoll(): void {
    const { clock, blackboard, config } = this.options;
    this.earlyPoll?.dispose();
    this.earlyPoll = undefined;
    const isAccepted = blackboard.freshness.value.acceptedRevision >= config.revision;
    const isFailing = this.failures > 0 && this.failures <= MAX_SHORT_INTERVAL_FAILURES;
    const isReporting = this.failures === 0 && !isAccepted;
    if (!isFailing && !isReporting) return;
    this.earlyPoll = clock.setTimeout(() => this.startRound(), SHORT_POLL_INTERVAL_MS);
  }

  private async runRound(): Promise<void> {
    const asksPeers = this.failures >= FAILURES_BEFORE_PEERS;
    const [isConfirmed] = await Promise.all([
      this.pollControl(),
      asksPeers ? this.askPeers() : undefined,
    ]);
    this.failures = isConfirmed ? 0 : this.failures + 1;
  }

  /** Confirmation by the leader (path A). Resolves to whether the leader answered. */
  private async pollControl(): Promise<boolean> {
    const { config, control, blackboard, self, incarnation } = this.options;
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
    // In a new fleet, holders of claims start from the empty view and have no claims to recover.
    if (answer.committedRevision === 0) await config.adopt(EMPTY_CONFIG);
    if (answer.changes.length > 0) {
      await config.adoptChanges(answer.changes, answer.committedRevision);
    }
    this.trackConfig();
    this.tracker.acceptControlAnswer(poll, answer.committedRevision);
    blackboard.peers.set({ current: answer.currentEntries });
    this.publish(answer.acceptedRevision);
    return true;
  }

  /** Confirmation by a majority of the entries (path B). */
  private async askPeers(): Promise<void> {
    const found = await this.confirmation.run();
    this.options.blackboard.peers.set({ current: found.current });
    this.publish(found.acceptedRevision);
  }

  /** Call it after the shared state is set: the budgets must adopt a view before that view can renew freshness. */
  private trackConfig(): void {
    const { config } = this.options.config;
    if (config !== undefined) this.tracker.adopt(config);
  }

  private publish(acceptedRevision: number): void {
    const { blackboard } = this.options;
    const known = blackboard.freshness.value.acceptedRevision;
    blackboard.freshness.set({
      currentUntil: this.tracker.currentUntil,
      source: this.tracker.source,
      acceptedRevision: Math.max(known, acceptedRevision),
    });
  }
}
