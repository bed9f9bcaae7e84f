/** One shard at one holder: for which epoch it answers, who read it, and its claims. */
import type { ClaimStore } from './ClaimStore.js';
import type { RecoveredShard } from './types.js';

interface Reader {
  readonly epoch: number;
  /** Lowest incarnation that read for this epoch. */
  readonly incarnation: number;
}

export class ShardState {
  /** Epoch whose claims this holder acknowledges; undefined until its state is known to be complete. */
  private epoch: number | undefined;

  /** Epoch that the state was handed over from; undefined if it was recovered after a restart. */
  private predecessor: number | undefined;

  /** Nothing is acknowledged any more in epochs below this one. */
  private sealedEpoch = -Infinity;

  private readonly readers = new Map<string, Reader>();

  public constructor(
    public readonly shard: number,
    public readonly store: ClaimStore,
  ) {}

  public get readyEpoch(): number | undefined {
    return this.epoch;
  }

  /** Whether claims of this epoch are acknowledged. */
  public isServing(epoch: number): boolean {
    return this.epoch === epoch && this.sealedEpoch <= epoch;
  }

  /** The state is complete for `epoch`. */
  public markReady(epoch: number, predecessor: number | undefined): void {
    if (this.epoch !== undefined && this.epoch >= epoch) return;
    this.epoch = epoch;
    this.predecessor = predecessor;
  }

  /**
   * Answers a holder that recovers for `epoch` and seals older epochs if it may continue from this state. A state that
   * cannot be handed over is not sealed, so that another recovery can still finish.
   */
  public answerRecovery(
    vm: string,
    incarnation: number,
    epoch: number,
  ): RecoveredShard | undefined {
    const state = this.epoch;
    if (state === undefined || state > epoch || this.sealedEpoch > epoch) return undefined;
    if (state === epoch) {
      const isFirst = this.noteReader(vm, incarnation, epoch);
      const handsOverFrom = isFirst ? this.predecessor : undefined;
      return { shard: this.shard, viewEpoch: state, handsOverFrom };
    }
    if (this.sealedEpoch > state && this.sealedEpoch !== epoch) return undefined;
    this.sealedEpoch = epoch;
    const isFirst = this.noteReader(vm, incarnation, epoch);
    return { shard: this.shard, viewEpoch: state, handsOverFrom: isFirst ? state : undefined };
  }

  /** Returns false if an earlier run of the reader read for the same or a later epoch. */
  private noteReader(vm: string, incarnation: number, epoch: number): boolean {
    const known = this.readers.get(vm);
    if (known !== undefined && known.epoch >= epoch) return known.incarnation >= incarnation;
    this.readers.set(vm, { epoch, incarnation });
    return true;
  }
}
