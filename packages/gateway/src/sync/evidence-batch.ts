/** Encodes evidence as a list of numbers: a message for each item would cost several times the processor time. */
import { create, toBinary } from '@bufbuild/protobuf';
import { BinaryReader, WireType } from '@bufbuild/protobuf/wire';
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

/** Reads the values of a batch. The decoder of the library takes three times as long, since it checks each value. */
function readValues(bytes: Uint8Array): number[] {
  const reader = new BinaryReader(bytes);
  const values: number[] = [];
  while (reader.pos < reader.len) {
    const [field, wireType] = reader.tag();
    if (
      field === EvidenceBatchSchema.field.values.number &&
      wireType === WireType.LengthDelimited
    ) {
      const end = reader.uint32() + reader.pos;
      while (reader.pos < end) values.push(reader.uint32());
    } else reader.skip(wireType, field);
  }
  return values;
}

/** Decodes the output of `encodeEvidenceBatch`. Throws if the bytes have another format. */
export function decodeEvidenceBatch(bytes: Uint8Array): EvidenceItem[] {
  const values = readValues(bytes);
  return Array.from({ length: Math.floor(values.length / VALUES_PER_ITEM) }, (_, i) => {
    const start = i * VALUES_PER_ITEM;
    return {
      ref: values[start]!,
      entryRef: values[start + 1]!,
      succeeded: values[start + 2]!,
      failed: values[start + 3]!,
      suspect: values[start + 4]!,
      inFlight: values[start + 5]!,
    };
  });
}
