/**
 * Decides until when an entry is current: up to that time it has every change in force that was accepted 2,000 ms ago
 * or earlier. It is confirmed by the leader or by a majority of the view's entries.
 */
import type { Clock } from '@marigoldbank/base/clock';
import type { FleetView } from './config.js';
import { FRESHNESS_MS } from './freshness-constants.js';
import { PeerRound } from './PeerRound.js';

/** Revision and view of a configuration that an entry has in force, or could put in force. */
export interface TrackedConfig {
  readonly revision: number;
  readonly view: FleetView;
}

/** A poll of the leader (path A). */
export interface ControlPoll {
  readonly sentAt: number;
}

/**
 * State of a round or poll after an answer:
 *
 * - `counted`: the entry is current until 2,000 ms after the request was sent.
 * - `behind`: the entry must first put `revision` in force. `adopt` then evaluates the round again; it cannot count if
 *   the adopted configuration has another view.
 * - `open`: more answers are needed.
 * - `void`: the round can no longer count, since the view has changed; start a new one.
 */
export type RoundStatus =
  | { readonly kind: 'counted' }
  | { readonly kind: 'behind'; readonly revision: number; readonly vm: string | undefined }
  | { readonly kind: 'open' }
  | { readonly kind: 'void' };

export type FreshnessSource = 'none' | 'control' | 'peers';

export class FreshnessTracker {
  private config: TrackedConfig | undefined;

  /** Configuration fetched from a peer by an entry that has none in force; see `offerCandidate`. */
  private candidate: TrackedConfig | undefined;

  /** Round with a majority that can count once its highest revision is in force. */
  private pendingRound: PeerRound | undefined;

  private confirmedUntil = -Infinity;

  private lastSource: FreshnessSource = 'none';

  public constructor(
    private readonly self: string,
    private readonly clock: Clock,
  ) {}

  /** Monotonic ms until which the entry is current. -Infinity while it is not in its own view. */
  public get currentUntil(): number {
    return this.isInView ? this.confirmedUntil : -Infinity;
  }

  /** How the entry was last confirmed to be current. */
  public get source(): FreshnessSource {
    return this.lastSource;
  }

  /** Revision in force; 0 without a configuration, in which case peers must not count this entry. */
  public get revision(): number {
    return this.config?.revision ?? 0;
  }

  /** Call it synchronously at dispatch. */
  public isCurrent(): boolean {
    return this.clock.now() < this.currentUntil;
  }

  /**
   * Whether a configuration that a peer sent may be put in force. An entry without one first needs answers from a
   * majority of the entries of its view, since before its restart it may have been counted for a later revision.
   */
  public mayAdoptFromPeer(config: TrackedConfig): boolean {
    if (this.config !== undefined) return config.revision > this.revision;
    const round = this.pendingRound;
    return round?.view.epoch === config.view.epoch && config.revision >= round.highestRevision;
  }

  /**
   * Records that a configuration is in force. An older one is ignored. The caller must first pass it to the budgets
   * and, on an entry with a disk, sync it, since this call may make the entry current.
   */
  public adopt(config: TrackedConfig): void {
    if (config.revision <= this.revision) return;
    const round = this.pendingRound;
    this.pendingRound = undefined;
    this.config = config;
    this.candidate = undefined;
    if (round !== undefined) this.evaluate(round);
  }

  /** Starts a poll of the leader. Call it before the request is sent. */
  public beginControlPoll(): ControlPoll {
    return { sentAt: this.clock.now() };
  }

  /** Handles a confirmed answer of the leader. If it contains a newer configuration, adopt that first. */
  public acceptControlAnswer(poll: ControlPoll, committedRevision: number): RoundStatus {
    if (this.config === undefined || committedRevision > this.revision) {
      return { kind: 'behind', revision: committedRevision, vm: undefined };
    }
    this.renew(poll.sentAt, 'control');
    return { kind: 'counted' };
  }

  /**
   * Sets a configuration fetched from a peer as candidate of an entry that has none in force. The next peer round asks
   * the entries of the candidate's view and decides what is adopted; this entry itself does not count in it.
   */
  public offerCandidate(config: TrackedConfig): void {
    if (this.config !== undefined || config.revision <= (this.candidate?.revision ?? 0)) return;
    this.candidate = config;
  }

  /** Starts a peer round; undefined if no view is known. Call it before the requests are sent. */
  public beginPeerRound(): PeerRound | undefined {
    const view = (this.config ?? this.candidate)?.view;
    if (view === undefined) return undefined;
    const round = new PeerRound(this.clock.now(), view);
    round.add(this.self, this.revision);
    return round;
  }

  /** Adds a peer's answer to a round. Revision 0 means that the peer has no configuration. */
  public acceptPeerAnswer(round: PeerRound, vm: string, revision: number): RoundStatus {
    // The entry itself was counted when the round began, with the revision that it had then.
    if (vm !== this.self) round.add(vm, revision);
    return this.evaluate(round);
  }

  private get isInView(): boolean {
    return this.config?.view.entries.some((entry) => entry.vm === this.self) ?? false;
  }

  private evaluate(round: PeerRound): RoundStatus {
    const known = this.config ?? this.candidate;
    // A majority of another view need not know the changes that were accepted under this one.
    if (known === undefined || known.view.epoch !== round.view.epoch) return { kind: 'void' };
    if (!round.hasMajority) return { kind: 'open' };
    const { highestRevision, highestRevisionVm } = round;
    if (this.config === undefined || highestRevision > this.revision) {
      this.pendingRound = round;
      return { kind: 'behind', revision: highestRevision, vm: highestRevisionVm };
    }
    this.renew(round.sentAt, 'peers');
    return { kind: 'counted' };
  }

  private renew(sentAt: number, source: FreshnessSource): void {
    const until = sentAt + FRESHNESS_MS;
    if (until <= this.confirmedUntil) return;
    this.confirmedUntil = until;
    this.lastSource = source;
  }
}
