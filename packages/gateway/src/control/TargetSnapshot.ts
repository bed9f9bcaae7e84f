/**
 * Targets, beliefs and load for entries that connect. Many entries connect at once after the loss of a hub, and encoding
 * this for each of them would keep the remaining hubs busy; so it is encoded once and used for a while.
 */
import { create, toBinary } from '@bufbuild/protobuf';
import type { Clock } from '@marigoldbank/base/clock';
import { HubUpdateSchema } from '@marigoldbank/protocol/gen/marigoldbank/v1/sync_pb';
import { encodeEvidenceBatch } from '../sync/evidence-batch.js';
import type { EvidenceDistributor } from './EvidenceDistributor.js';
import type { HubTargets } from './HubTargets.js';

/** Beliefs and load may be this old; the next outcome at a target corrects them. Targets are always current. */
const MAX_AGE_MS = 300;

export interface SnapshotContext {
  readonly clock: Clock;
  readonly targets: Pick<
    HubTargets,
    'describeAll' | 'beliefs' | 'refs' | 'onDidChange' | 'onDidRemove'
  >;
  readonly evidence: Pick<EvidenceDistributor, 'load'>;
}

export class TargetSnapshot {
  private cached: { readonly bytes: Uint8Array; readonly at: number } | undefined;

  public constructor(private readonly ctx: SnapshotContext) {
    ctx.targets.onDidChange(() => this.invalidate());
    ctx.targets.onDidRemove(() => this.invalidate());
  }

  /** An encoded `HubUpdate`. */
  public encode(): Uint8Array {
    const now = this.ctx.clock.now();
    if (this.cached === undefined || now - this.cached.at > MAX_AGE_MS) {
      this.cached = { bytes: this.encodeNow(now), at: now };
    }
    return this.cached.bytes;
  }

  private invalidate(): void {
    this.cached = undefined;
  }

  private encodeNow(now: number): Uint8Array {
    const { targets, evidence } = this.ctx;
    const load = evidence.load().flatMap(({ id, inFlight }) => {
      const ref = targets.refs.refOf(id);
      const none = { entryRef: 0, succeeded: 0, failed: 0, suspect: 0 };
      return ref === undefined ? [] : [{ ref, inFlight, ...none }];
    });
    const update = create(HubUpdateSchema, {
      targets: targets.describeAll(),
      beliefs: targets.beliefs(now),
      evidenceBatch: encodeEvidenceBatch(load),
    });
    return toBinary(HubUpdateSchema, update);
  }
}
