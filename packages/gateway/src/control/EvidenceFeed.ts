/**
 * Evidence for all entries of this hub. Each batch is encoded once, whatever the number of entries: an entry skips the
 * outcomes that it has reported itself.
 */
import type { Clock } from '@marigoldbank/base/clock';
import type { IDisposable } from '@marigoldbank/base/lifecycle';
import type { Pace } from '../sync/BatchPace.js';
import { Batcher } from '../sync/Batcher.js';
import { encodeEvidenceBatch } from '../sync/evidence-batch.js';
import { EvidenceBuffer } from '../sync/EvidenceBuffer.js';

/** Delay of failures, and of all other evidence. */
const FAILURE_FLUSH_MS = 1;
const FLUSH_MS = 100;

/** Minimum time between two batches. Failures are frequent in a large fleet, and each batch goes to every entry. */
const MIN_INTERVAL_MS = 40;

export interface FeedContext {
  readonly clock: Clock;
  readonly pace: Pace;
  /** Number of a target, undefined if it was removed. */
  readonly refOf: (target: string) => number | undefined;
  /** Requests of all entries in flight at a target. */
  readonly inFlight: (target: string) => number;
  readonly send: (batch: Uint8Array) => void;
}

export class EvidenceFeed implements IDisposable {
  private readonly byEntry = new Map<number, EvidenceBuffer>();

  private readonly batcher: Batcher;

  public constructor(private readonly ctx: FeedContext) {
    this.batcher = new Batcher(ctx.clock, () => this.flush(), MIN_INTERVAL_MS, ctx.pace);
  }

  /** Adds outcomes that an entry reported; `entryRef` is 0 for entries of other hubs. */
  public add(
    entryRef: number,
    target: string,
    succeeded: number,
    failed: number,
    suspect: number,
  ): void {
    const buffer = this.byEntry.get(entryRef) ?? new EvidenceBuffer();
    this.byEntry.set(entryRef, buffer);
    buffer.add(target, succeeded, failed, suspect);
    this.batcher.request(failed > 0 ? FAILURE_FLUSH_MS : FLUSH_MS);
  }

  public dispose(): void {
    this.batcher.dispose();
  }

  private flush(): void {
    const items = [...this.byEntry].flatMap(([entryRef, buffer]) =>
      buffer.take(this.ctx.inFlight).flatMap(({ id, ...counts }) => {
        const ref = this.ctx.refOf(id);
        return ref === undefined ? [] : [{ ref, entryRef, ...counts }];
      }),
    );
    this.byEntry.clear();
    if (items.length > 0) this.ctx.send(encodeEvidenceBatch(items));
  }
}
