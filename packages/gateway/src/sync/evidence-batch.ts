/** Encodes evidence as a list of numbers: a message for each item would cost several times the processor time. */
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import { EvidenceBatchSchema } from '@marigoldbank/protocol/gen/marigoldbank/v1/sync_pb';

/** Outcomes at one target that one source reported. */
export interface EvidenceItem {
  /** Number of the target. */
  readonly ref: number;
  /** Number of the entry that reported the outcomes, 0 for entries of other hubs. */
  readonly entryRef: number;
  readonly succeeded: number;
  readonly failed: number;
  readonly suspect: number;
  /** Requests of all entries in flight at the target. */
  readonly inFlight: number;
}

const VALUES_PER_ITEM = 6;

export function encodeEvidenceBatch(items: readonly EvidenceItem[]): Uint8Array {
  const values = items.flatMap(({ ref, entryRef, succeeded, failed, suspect, inFlight }) => [
    ref,
    entryRef,
    succeeded,
    failed,
    suspect,
    inFlight,
  ]);
  return toBinary(EvidenceBatchSchema, create(EvidenceBatchSchema, { values }));
}

/** Decodes the output of `encodeEvidenceBatch`. Throws if the bytes have another format. */
export function decodeEvidenceBatch(bytes: Uint8Array): EvidenceItem[] {
  const { values } = fromBinary(EvidenceBatchSchema, bytes);
  return Array.from({ length: Math.floor(values.length / VALUES_PER_ITEM) }, (_, i) => {
    const start = i * VALUES_PER_ITEM;
    const [ref, entryRef, succeeded, failed, suspect, inFlight] = values.slice(
      start,
      start + VALUES_PER_ITEM,
    ) as [number, number, number, number, number, number];
    return { ref, entryRef, succeeded, failed, suspect, inFlight };
  });
}
