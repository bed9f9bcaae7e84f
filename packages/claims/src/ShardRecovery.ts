/** Recovery of one shard at one holder: decides when its state is complete for one epoch. */
import { OVERDUE_RECOVERY_MS, OVERDUE_RETRY_MS } from './constants.js';
import type { Incarnations } from './Incarnations.js';
import { holdersOf, majorityOf, recoveryQuorumOf } from './sharding.js';
import type { ClaimView, RecoveredShard } from './types.js';

interface Answer {
  readonly incarnation: number;
  readonly answer: RecoveredShard;
}

export interface RecoveryResult {
  /** Epoch from which the shard was handed over; undefined if it was read from holders of the same epoch. */
  readonly predecessor: number | undefined;
}

export class ShardRecovery {
  private readonly answers = new Map<string, Answer>();

  private readonly peers: readonly string[];

  private askedAt = -Infinity;

  private readonly recentSources: readonly string[];

  private readonly allSources: readonly string[];

  public constructor(
    self: string,
    public readonly shard: number,
    public readonly view: ClaimView,
    /** Earlier views from which the shard may be handed over, newest first. */
    private readonly earlierViews: readonly ClaimView[],
    private readonly startedAt: number,
  ) {
    this.peers = holdersOf(view, shard).filter((vm) => vm !== self);
    this.recentSources = this.listSources(earlierViews.slice(0, 1));
    this.allSources = this.listSources(earlierViews);
  }

  /**
   * VMs to read from. Holders of views before the previous one are asked only when the recovery is overdue and the
   * previous view has probably not been completed either. Asked earlier, they could prevent its completion: a holder
   * that has answered for an epoch no longer hands its state over to an older one.
   */
  public sourcesAt(now: number): readonly string[] {
    const isOverdue = now - this.startedAt >= OVERDUE_RECOVERY_MS;
    return isOverdue ? this.allSources : this.recentSources;
  }

  /** Starts a round of requests and returns true, unless an overdue recovery sent its last round too recently. */
  public beginRoundIfDue(now: number): boolean {
    const isOverdue = now - this.startedAt >= OVERDUE_RECOVERY_MS;
    const pauseMs = isOverdue ? OVERDUE_RETRY_MS : 0;
    if (now - this.askedAt < pauseMs) return false;
    this.askedAt = now;
    return true;
  }

  public add(vm: string, incarnation: number, answer: RecoveredShard): void {
    const known = this.answers.get(vm);
    if (known !== undefined && known.incarnation > incarnation) return;
    this.answers.set(vm, { incarnation, answer });
  }

  /** Returns the result once the answers suffice. Answers of earlier incarnations of their senders do not count. */
  public evaluate(incarnations: Incarnations): RecoveryResult | undefined {
    if (this.isReadFromPeers(incarnations)) return { predecessor: undefined };
    const predecessor = this.earlierViews.find((view) => this.isHandedOver(view, incarnations));
    return predecessor === undefined ? undefined : { predecessor: predecessor.epoch };
  }

  private listSources(earlier: readonly ClaimView[]): readonly string[] {
    const vms = earlier.flatMap((view) => holdersOf(view, this.shard));
    return [...new Set([...this.peers, ...vms])];
  }

  /** Whether enough other holders of the same epoch answered. */
  private isReadFromPeers(incarnations: Incarnations): boolean {
    const complete = this.peers.filter(
      (vm) => this.findValidAnswer(vm, incarnations)?.viewEpoch === this.view.epoch,
    );
    return complete.length >= recoveryQuorumOf(this.peers.length + 1);
  }

  /** Whether a majority of the holders of an earlier view handed the shard over. */
  private isHandedOver(view: ClaimView, incarnations: Incarnations): boolean {
    const holders = holdersOf(view, this.shard);
    // The first view of a fleet follows an empty one, in which no claim can have been made.
    if (holders.length === 0) return view.epoch + 1 === this.view.epoch;
    const handedOver = holders.filter(
      (vm) => this.findValidAnswer(vm, incarnations)?.handsOverFrom === view.epoch,
    );
    return handedOver.length >= majorityOf(holders.length);
  }

  private findValidAnswer(vm: string, incarnations: Incarnations): RecoveredShard | undefined {
    const known = this.answers.get(vm);
    if (known === undefined || incarnations.isOutdated(vm, known.incarnation)) return undefined;
    return known.answer;
  }
}
