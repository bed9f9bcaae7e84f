/** Storage on a simulated disk, for tests. */
import type { Clock } from '@marigoldbank/base/clock';
import type { Random } from '@marigoldbank/base/random';
import { entriesContinuing } from './continuation.js';
import { LogStorage } from './LogStorage.js';
import type { Identity, Snapshot, StoredState, VoteRecord } from './LogStorage.js';
import type { MemoryDisk } from './MemoryDisk.js';
import type { LogEntry } from './types.js';

const DEFAULT_MAX_SYNC_MS = 5;

/** One opening of a simulated disk. Each write takes effect after a random delay and is then acknowledged. */
export class MemoryLogStorage extends LogStorage {
  private isCrashed = false;

  /** Writes issued and not synced, in order. Each one is a list of steps that can be torn apart by a crash. */
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
    this.disk.entries = entriesContinuing(snapshot, entries);
    return Promise.resolve(this.disk.read());
  }

  /** Ends this opening: of the writes that were not synced, the disk keeps any prefix. Nothing is acknowledged. */
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
