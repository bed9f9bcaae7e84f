/** State of one shard at one holder: its claims, the epoch it serves and the holders that recovered from it. */
import type { ClaimStore } from './ClaimStore.js';
import type { RecoveredShard } from './types.js';

/** A holder that read this state to recover the shard. */
interface Reader {
  readonly epoch: number;
  /** Incarnation that was the first to read the state for this epoch. */
  readonly incarnation: number;
}

export class ShardState {
  /** Epoch in which this holder grants claims; undefined until its state is known to be complete. */
  private epoch: number | undefined;

  /** Epoch that the state was handed over from; undefined if it was recovered after a restart. */
  private predecessor: number | undefined;

  /** No claims are granted any more in epochs below this one. */
  private sealedEpoch = -Infinity;

  private readonly readers = new Map<string, Reader>();

  public constructor(
    public readonly shard: number,
    public readonly store: ClaimStore,
  ) {}

  public get readyEpoch(): number | undefined {
    return this.epoch;
  }

  /** Whether claims of this epoch are granted. */
  public isServing(epoch: number): boolean {
    return this.epoch === epoch && this.sealedEpoch <= epoch;
  }

  /** Records that the state is complete for `epoch`. */
  public markReady(epoch: number, predecessor: number | undefined): void {
    if (this.epoch !== undefined && this.epoch >= epoch) return;
    this.epoch = epoch;
    this.predecessor = predecessor;
  }

  /**
   * Answers a holder that recovers the shard for `epoch`. Before a state of an older epoch is passed on, all epochs
   * below `epoch` are sealed: no claims are granted in them any more. A state that is already sealed for another epoch
   * gets no answer and is not sealed again, so that the recovery for that epoch can still finish.
   */
  public answerRecovery(
    vm: string,
    incarnation: number,
    epoch: number,
  ): RecoveredShard | undefined {
    const ownEpoch = this.epoch;
    if (ownEpoch === undefined || ownEpoch > epoch || this.sealedEpoch > epoch) return undefined;
    if (ownEpoch === epoch) {
      const isFirst = this.recordReader(vm, incarnation, epoch);
      const handsOverFrom = isFirst ? this.predecessor : undefined;
      return { shard: this.shard, viewEpoch: ownEpoch, handsOverFrom };
    }
    if (this.sealedEpoch > ownEpoch && this.sealedEpoch !== epoch) return undefined;
    this.sealedEpoch = epoch;
    const isFirst = this.recordReader(vm, incarnation, epoch);
    return {
      shard: this.shard,
      viewEpoch: ownEpoch,
      handsOverFrom: isFirst ? ownEpoch : undefined,
    };
  }

  /** Returns false if an earlier incarnation of the reader read the state for the same or a later epoch. */
  private recordReader(vm: string, incarnation: number, epoch: number): boolean {
    const known = this.readers.get(vm);
    if (known !== undefined && known.epoch >= epoch) return known.incarnation >= incarnation;
    this.readers.set(vm, { epoch, incarnation });
    return true;
  }
}
