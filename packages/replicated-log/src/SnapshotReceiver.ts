/** Reassembles a snapshot from its chunks. */
import type { Snapshot } from './LogStorage.js';
import type { InstallSnapshotRequest } from './types.js';

/** Result of one chunk. After `outOfOrder` the sender restarts the transfer. */
export type ChunkProgress =
  | { readonly kind: 'partial' }
  | { readonly kind: 'complete'; readonly snapshot: Snapshot }
  | { readonly kind: 'outOfOrder' };

interface Reception {
  readonly key: string;
  readonly chunks: Uint8Array[];
  received: number;
}

function keyOf(req: InstallSnapshotRequest): string {
  return `${req.term}/${req.leader.incarnation}/${req.lastIndex}/${req.lastTerm}`;
}

export class SnapshotReceiver {
  private reception: Reception | undefined;

  /** Adds a chunk. A chunk that has already been received is accepted without effect. */
  public accept(req: InstallSnapshotRequest): ChunkProgress {
    const key = keyOf(req);
    const end = req.offset + req.chunk.length;
    if (req.offset === 0 && this.reception?.key !== key) {
      this.reception = { key, chunks: [], received: 0 };
    }
    const { reception } = this;
    if (reception?.key !== key || req.offset > reception.received) return { kind: 'outOfOrder' };
    if (req.offset === reception.received) {
      // The chunk may be a view of a larger buffer that the transport reuses.
      reception.chunks.push(Uint8Array.from(req.chunk));
      reception.received = end;
    }
    if (end !== reception.received) {
      return end < reception.received ? { kind: 'partial' } : { kind: 'outOfOrder' };
    }
    if (!req.isLast) return { kind: 'partial' };
    this.reception = undefined;
    return SnapshotReceiver.complete(req, reception);
  }

  private static complete(req: InstallSnapshotRequest, reception: Reception): ChunkProgress {
    const data = new Uint8Array(Buffer.concat(reception.chunks));
    const { lastIndex, lastTerm, membership } = req;
    return {
      kind: 'complete',
      snapshot: { index: lastIndex, term: lastTerm, membership, data },
    };
  }
}
