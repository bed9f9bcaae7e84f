/** Decides until when an entry is current: until then it misses no accepted change. */
import type { Clock } from '@marigoldbank/base/clock';
import type { FleetView } from './config.js';
import { FRESHNESS_MS } from './freshness-constants.js';
import { PeerRound } from './PeerRound.js';

/** What an entry has in force, or could put in force. */
export interface TrackedConfig {
  readonly revision: number;
  readonly view: FleetView;
}

/** A question to the leader (path A). */
export interface ControlPoll {
  readonly sentAt: number;
}

/**
 * - `counted`: the entry is current until 2,000 ms after the question was sent.
 * - `behind`: the entry must first put `revision` in force. `adopt` counts the answer then, unless the view changes.
 * - `open`: more answers are needed.
 * - `void`: the answer cannot count any more; ask again.
 */
export type RoundStatus =
  | { readonly kind: 'counted' }
  | { readonly kind: 'behind'; readonly revision: number; readonly vm: string | undefined }
  | { readonly kind: 'open' }
  | { readonly kind: 'void' };

export type FreshnessSource = 'none' | 'control' | 'peers';

export class FreshnessTracker {
  private config: TrackedConfig | undefined;

  /** Configuration of a peer that an entry without one would put in force. */
  private candidate: TrackedConfig | undefined;

  /** Round that waits for the adoption of its highest revision. */
  private waiting: PeerRound | undefined;

  private until = -Infinity;

  private lastSource: FreshnessSource = 'none';

  public constructor(
    private readonly self: string,
    private readonly clock: Clock,
  ) {}

  /** Monotonic ms until which the entry is current. -Infinity while it is not in its own view. */
  public get currentUntil(): number {
    return this.isInView ? this.until : -Infinity;
  }

  /** How currency was last confirmed. */
  public get source(): FreshnessSource {
    return this.lastSource;
  }

  /** Revision in force; 0 without configuration, which peers must not count. */
  public get revision(): number {
    return this.config?.revision ?? 0;
  }

  /** Call it synchronously at dispatch. */
  public isCurrent(): boolean {
    return this.clock.now() < this.currentUntil;
  }

  /**
   * Whether a configuration that a peer sent may be put in force. An entry without one first needs a majority of the
   * entries of its view, since an earlier run of it may have been counted for a later revision.
   */
  public mayAdoptFromPeer(config: TrackedConfig): boolean {
    if (this.config !== undefined) return config.revision > this.revision;
    const round = this.waiting;
    return round?.view.epoch === config.view.epoch && config.revision >= round.highestRevision;
  }

  /**
   * Notes that a configuration is in force (on an entry with a disk: synced). An older one is ignored. The caller passes
   * the configuration to the budgets before it calls this, since this may renew currency.
   */
  public adopt(config: TrackedConfig): void {
    if (config.revision <= this.revision) return;
    const round = this.waiting;
    this.waiting = undefined;
    this.config = config;
    this.candidate = undefined;
    if (round !== undefined) this.evaluate(round);
  }

  /** Starts a question to the leader. Call it before sending. */
  public beginControlPoll(): ControlPoll {
    return { sentAt: this.clock.now() };
  }

  /** A confirmed answer of the leader. Adopt its configuration first if it holds a newer one. */
  public acceptControlAnswer(poll: ControlPoll, committedRevision: number): RoundStatus {
    if (this.config === undefined || committedRevision > this.revision) {
      return { kind: 'behind', revision: committedRevision, vm: undefined };
    }
    this.confirm(poll.sentAt, 'control');
    return { kind: 'counted' };
  }

  /**
   * For an entry without configuration: a configuration fetched from a peer. It is not in force; a round under its view
   * decides, in which the entry itself does not count.
   */
  public offerCandidate(config: TrackedConfig): void {
    if (this.config !== undefined || config.revision <= (this.candidate?.revision ?? 0)) return;
    this.candidate = config;
  }

  /** Starts a round over the peers; undefined without any known view. Call it before sending. */
  public beginPeerRound(): PeerRound | undefined {
    const view = (this.config ?? this.candidate)?.view;
    if (view === undefined) return undefined;
    const round = new PeerRound(this.clock.now(), view);
    round.add(this.self, this.revision);
    return round;
  }

  /** Adds a peer's answer to a round. Revision 0 means that the peer has no configuration. */
  public acceptPeerAnswer(round: PeerRound, vm: string, revision: number): RoundStatus {
    // The entry itself is counted when the round begins, with the revision that it had then.
    if (vm !== this.self) round.add(vm, revision);
    return this.evaluate(round);
  }

  private get isInView(): boolean {
    return this.config?.view.entries.some((entry) => entry.vm === this.self) ?? false;
  }

  private evaluate(round: PeerRound): RoundStatus {
    const known = this.config ?? this.candidate;
    // A majority of another view says nothing about changes accepted under this one.
    if (known === undefined || known.view.epoch !== round.view.epoch) return { kind: 'void' };
    if (!round.hasMajority) return { kind: 'open' };
    const { highestRevision, highestVm } = round;
    if (this.config === undefined || highestRevision > this.revision) {
      this.waiting = round;
      return { kind: 'behind', revision: highestRevision, vm: highestVm };
    }
    this.confirm(round.sentAt, 'peers');
    return { kind: 'counted' };
  }

  private confirm(sentAt: number, source: FreshnessSource): void {
    const until = sentAt + FRESHNESS_MS;
    if (until <= this.until) return;
    this.until = until;
    this.lastSource = source;
  }
}
