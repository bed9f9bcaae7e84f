/** Writes the state in memory to the storage. Changes made during one write are batched into the next one. */
import { delay, type Clock } from '@marigoldbank/base/clock';
import { Emitter } from '@marigoldbank/base/events';
import type { ConsensusState } from './ConsensusState.js';
import { FullDiskError } from './FullDiskError.js';
import { StoppedError } from './StoppedError.js';
import type { LogStorage } from './LogStorage.js';

/** Interval at which a write is repeated while the disk has no space. */
const FULL_DISK_RETRY_MS = 200;

interface Deferred {
  readonly promise: Promise<void>;
  resolve(): void;
  reject(err: unknown): void;
}

function createDeferred(): Deferred {
  let resolve: () => void = () => {};
  let reject: (err: unknown) => void = () => {};
  const promise = new Promise<void>((onResolve, onReject) => {
    resolve = onResolve;
    reject = onReject;
  });
  // A failure is also reported by `onFailure`; this prevents an unhandled rejection if nothing awaits the batch.
  promise.catch(() => {});
  return { promise, resolve, reject };
}

/** Serialises writes and batches concurrent ones, with one sync for each batch. */
export class DurableWriter {
  private readonly durableEmitter = new Emitter<void>();

  private readonly failureEmitter = new Emitter<unknown>();

  /** Fires after each batch. */
  public readonly onDurable = this.durableEmitter.event;

  /** Fires once, when the member cannot continue. `flush` then rejects, also for callers that are waiting. */
  public readonly onFailure = this.failureEmitter.event;

  private readonly spaceEmitter = new Emitter<boolean>();

  /** Fires with false when a write is refused for lack of space, and with true when it has succeeded after all. */
  public readonly onDidChangeSpace = this.spaceEmitter.event;

  private isFull = false;

  private isVoteDirty = false;

  private isIdentityDirty = false;

  private isSnapshotDirty = false;

  private dirtyFrom: number | undefined;

  private durableTo: number;

  private next: Deferred | undefined;

  private current: Deferred | undefined;

  private isRunning = false;

  private stopped: StoppedError | undefined;

  public constructor(
    private readonly storage: LogStorage,
    private readonly state: ConsensusState,
    private readonly clock: Clock,
  ) {
    this.durableTo = state.log.lastIndex;
  }

  /** Whether writes wait for space on the disk. */
  public get isDiskFull(): boolean {
    return this.isFull;
  }

  /** Highest index up to which the log in memory is stored. */
  public get durableIndex(): number {
    return this.durableTo;
  }

  public markVote(): void {
    this.isVoteDirty = true;
    this.ensureBatch();
  }

  public markIdentity(): void {
    this.isIdentityDirty = true;
    this.ensureBatch();
  }

  /** Marks the entries from `index` on as appended or replaced. */
  public markLog(index: number): void {
    this.dirtyFrom = Math.min(this.dirtyFrom ?? index, index);
    this.durableTo = Math.min(this.durableTo, index - 1);
    this.ensureBatch();
  }

  /** Marks a snapshot taken by this member as unsaved; the log is rewritten together with it. */
  public markSnapshot(): void {
    this.isSnapshotDirty = true;
    this.ensureBatch();
  }

  /** Marks a received snapshot, which replaced the log, as unsaved. */
  public markInstalledSnapshot(index: number): void {
    this.isSnapshotDirty = true;
    this.markLog(index + 1);
  }

  /** Resolves when everything marked so far is durable. */
  public flush(): Promise<void> {
    if (this.stopped !== undefined) return Promise.reject(this.stopped);
    return (this.next ?? this.current)?.promise ?? Promise.resolve();
  }

  /** Completes pending writes and accepts no more. */
  public async close(): Promise<void> {
    await this.flush().catch(() => {});
    this.stopped ??= new StoppedError();
  }

  /** Stops the member after an error of the storage or the state machine. */
  public fail(err: unknown): void {
    if (this.stopped !== undefined) return;
    this.stopped = new StoppedError(err);
    this.current?.reject(this.stopped);
    this.next?.reject(this.stopped);
    this.failureEmitter.fire(err);
  }

  private ensureBatch(): void {
    if (this.stopped !== undefined || this.next !== undefined) return;
    this.next = createDeferred();
    if (!this.isRunning) {
      this.isRunning = true;
      this.run().catch((err: unknown) => this.fail(err));
    }
  }

  private async run(): Promise<void> {
    while (this.next !== undefined) {
      this.current = this.next;
      // Changes made in the same turn of the event loop join this batch.
      await Promise.resolve();
      this.next = undefined;
      await this.writeWhenPossible();
      if (this.stopped !== undefined) return;
      this.current.resolve();
      this.current = undefined;
      this.durableEmitter.fire();
    }
    this.isRunning = false;
  }

  /** Repeats the batch, with what was marked meanwhile, until the disk has space for it. */
  private async writeWhenPossible(): Promise<void> {
    while (this.stopped === undefined) {
      try {
        await this.writeBatch();
        this.setFull(false);
        return;
      } catch (err) {
        if (!(err instanceof FullDiskError)) throw err;
        this.setFull(true);
        await delay(this.clock, FULL_DISK_RETRY_MS);
      }
    }
  }

  private setFull(isFull: boolean): void {
    if (this.isFull === isFull) return;
    this.isFull = isFull;
    this.spaceEmitter.fire(!isFull);
  }

  private async writeBatch(): Promise<void> {
    if (this.isIdentityDirty) {
      this.isIdentityDirty = false;
      await this.storage.saveIdentity(this.state.identity).catch((err: unknown) => {
        this.isIdentityDirty = true;
        throw err;
      });
    }
    // The term on disk must not be older than the entries written in it.
    if (this.isVoteDirty) {
      this.isVoteDirty = false;
      await this.storage
        .saveVote({ term: this.state.term, votedFor: this.state.votedFor })
        .catch((err: unknown) => {
          this.isVoteDirty = true;
          throw err;
        });
    }
    if (this.isSnapshotDirty) {
      await this.writeSnapshot();
    } else if (this.dirtyFrom !== undefined) {
      await this.writeEntries(this.dirtyFrom);
    }
  }

  private async writeSnapshot(): Promise<void> {
    const { log } = this.state;
    const { snapshot, firstIndex, lastIndex } = log;
    const retained = log.slice(firstIndex);
    this.isSnapshotDirty = false;
    this.dirtyFrom = undefined;
    if (snapshot === undefined) return;
    await this.storage.saveSnapshot(snapshot, retained).catch((err: unknown) => {
      this.isSnapshotDirty = true;
      throw err;
    });
    this.advanceDurable(lastIndex);
  }

  private async writeEntries(from: number): Promise<void> {
    const { log } = this.state;
    const { lastIndex } = log;
    const entries = log.slice(from);
    this.dirtyFrom = undefined;
    if (entries.length > 0) {
      await this.storage.append(entries).catch((err: unknown) => {
        this.dirtyFrom = Math.min(this.dirtyFrom ?? from, from);
        throw err;
      });
    }
    this.advanceDurable(lastIndex);
  }

  /** Entries replaced during the write are not durable yet. */
  private advanceDurable(writtenTo: number): void {
    this.durableTo = Math.min(writtenTo, (this.dirtyFrom ?? Infinity) - 1);
  }
}
