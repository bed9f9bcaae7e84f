/** Decides when a holder's state of one shard is complete for one epoch. */
import { OVERDUE_RECOVERY_MS, OVERDUE_RETRY_MS } from './constants.js';
import type { Incarnations } from './Incarnations.js';
import { holdersOf, majorityOf, recoveryQuorumOf } from './sharding.js';
import type { ClaimView, RecoveredShard } from './types.js';

interface Answer {
  readonly incarnation: number;
  readonly answer: RecoveredShard;
}

/** How a recovery was completed. */
export interface RecoveryResult {
  /** Epoch that was handed over; undefined if holders of the same epoch were read. */
  readonly predecessor: number | undefined;
}

export class ShardRecovery {
  private readonly answers = new Map<string, Answer>();

  private readonly peers: readonly string[];

  private askedAt = -Infinity;

  private readonly nearSources: readonly string[];

  private readonly allSources: readonly string[];

  public constructor(
    self: string,
    public readonly shard: number,
    public readonly view: ClaimView,
    /** Earlier views that may be handed over, newest first. */
    private readonly earlier: readonly ClaimView[],
    private readonly startedAt: number,
  ) {
    this.peers = holdersOf(view, shard).filter((vm) => vm !== self);
    this.nearSources = this.listSources(earlier.slice(0, 1));
    this.allSources = this.listSources(earlier);
  }

  /**
   * VMs to read from. Holders of views before the last one are asked only when that one was not completed, since their
   * answer keeps it from being completed.
   */
  public sourcesAt(now: number): readonly string[] {
    const isOverdue = now - this.startedAt >= OVERDUE_RECOVERY_MS;
    return isOverdue ? this.allSources : this.nearSources;
  }

  /** Whether to ask again; less often when the holders have not answered for a while. Notes that they are asked. */
  public isDue(now: number): boolean {
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

  /** Checks the answers, leaving out those of earlier runs of their senders. */
  public check(incarnations: Incarnations): RecoveryResult | undefined {
    if (this.isRead(incarnations)) return { predecessor: undefined };
    const predecessor = this.earlier.find((view) => this.isHandedOver(view, incarnations));
    return predecessor === undefined ? undefined : { predecessor: predecessor.epoch };
  }

  private listSources(earlier: readonly ClaimView[]): readonly string[] {
    const vms = earlier.flatMap((view) => holdersOf(view, this.shard));
    return [...new Set([...this.peers, ...vms])];
  }

  /** Enough other holders of the same epoch answered. */
  private isRead(incarnations: Incarnations): boolean {
    const complete = this.peers.filter(
      (vm) => this.valid(vm, incarnations)?.viewEpoch === this.view.epoch,
    );
    return complete.length >= recoveryQuorumOf(this.peers.length + 1);
  }

  /** A majority of the holders of an earlier view handed its claims over. */
  private isHandedOver(view: ClaimView, incarnations: Incarnations): boolean {
    const holders = holdersOf(view, this.shard);
    // The first view of a fleet follows the empty one: nobody made a claim before it.
    if (holders.length === 0) return view.epoch + 1 === this.view.epoch;
    const handedOver = holders.filter(
      (vm) => this.valid(vm, incarnations)?.handsOverFrom === view.epoch,
    );
    return handedOver.length >= majorityOf(holders.length);
  }

  private valid(vm: string, incarnations: Incarnations): RecoveredShard | undefined {
    const known = this.answers.get(vm);
    if (known === undefined || incarnations.isOutdated(vm, known.incarnation)) return undefined;
    return known.answer;
  }
}
