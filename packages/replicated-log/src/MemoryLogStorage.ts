/** Storage on a simulated disk, for tests. */
import type { Clock } from '@marigoldbank/base/clock';
import type { Random } from '@marigoldbank/base/random';
import { entriesMatchingSnapshot } from './entriesMatchingSnapshot.js';
import { FullDiskError } from './FullDiskError.js';
import { LogStorage } from './LogStorage.js';
import type { Identity, Snapshot, StoredState, VoteRecord } from './LogStorage.js';
import type { MemoryDisk } from './MemoryDisk.js';
import type { LogEntry } from './types.js';

const DEFAULT_MAX_SYNC_MS = 5;

/** Storage opened on a simulated disk. Each write takes effect after a random delay and is then acknowledged. */
export class MemoryLogStorage extends LogStorage {
  private isCrashed = false;

  /** Makes every later write fail, as on a full or broken disk. */
  public isFailing = false;

  /** Makes later writes fail for lack of space. */
  public isFull = false;

  /** Batches of entries appended so far. */
  public appends = 0;

  /** Unsynced writes in order. Each one is a list of steps; a crash can happen between two of them. */
  protected readonly unsynced: (() => void)[][] = [];

  public constructor(
    protected readonly disk: MemoryDisk,
    protected readonly clock: Clock,
    protected readonly random: Random,
    private readonly maxSyncMs: number = DEFAULT_MAX_SYNC_MS,
  ) {
    super();
  }

  public override async open(): Promise<StoredState> {
    const { snapshot, entries } = this.disk;
    this.disk.entries = entriesMatchingSnapshot(snapshot, entries);
    return Promise.resolve(this.disk.read());
  }

  /** Simulates a crash: the disk keeps a random prefix of the unsynced steps, and no write is acknowledged any more. */
  public crash(): void {
    this.isCrashed = true;
    const steps = this.unsynced.flat();
    steps.slice(0, this.random.int(steps.length + 1)).forEach((step) => step());
    this.unsynced.length = 0;
  }

  public override saveIdentity(identity: Identity): Promise<void> {
    return this.write([() => Object.assign(this.disk, { identity })]);
  }

  public override saveVote(vote: VoteRecord): Promise<void> {
    return this.write([() => Object.assign(this.disk, { vote })]);
  }

  public override append(entries: readonly LogEntry[]): Promise<void> {
    this.appends += 1;
    return this.write([() => this.disk.append(entries)]);
  }

  public override saveSnapshot(snapshot: Snapshot, retained: readonly LogEntry[]): Promise<void> {
    return this.write([
      () => Object.assign(this.disk, { snapshot }),
      () => Object.assign(this.disk, { entries: retained }),
    ]);
  }

  public override async close(): Promise<void> {
    await Promise.resolve();
  }

  /** Resolves when the steps are synced; never after a crash. */
  protected write(steps: (() => void)[]): Promise<void> {
    if (this.isFailing) return Promise.reject(new Error('the disk failed'));
    if (this.isFull) return Promise.reject(new FullDiskError(new Error('ENOSPC')));
    this.unsynced.push(steps);
    return new Promise((resolve) => {
      this.clock.setTimeout(() => {
        if (this.isCrashed) return;
        this.sync(steps);
        resolve();
      }, this.random.float() * this.maxSyncMs);
    });
  }

  /** Syncing a write syncs all earlier ones. */
  private sync(steps: (() => void)[]): void {
    const count = this.unsynced.indexOf(steps) + 1;
    const synced = this.unsynced.splice(0, count);
    synced.flat().forEach((step) => step());
  }
}
