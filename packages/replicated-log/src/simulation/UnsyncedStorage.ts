/** Storage for tests that acknowledges writes before they are synced, so that a crash can lose them. */
import type { Clock } from '@marigoldbank/base/clock';
import type { Random } from '@marigoldbank/base/random';
import type { MemoryDisk } from '../MemoryDisk.js';
import { MemoryLogStorage } from '../MemoryLogStorage.js';

const CACHE_FLUSH_MS = 500;

export class UnsyncedStorage extends MemoryLogStorage {
  public constructor(disk: MemoryDisk, clock: Clock, random: Random) {
    super(disk, clock, random, CACHE_FLUSH_MS);
  }

  protected override write(steps: (() => void)[]): Promise<void> {
    super.write(steps).catch(() => {});
    return Promise.resolve();
  }
}
