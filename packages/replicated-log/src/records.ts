/** Content of the frames in the data folder. */
import { deserialize, serialize } from 'node:v8';
import { z } from 'zod';
import type { Identity, Snapshot, VoteRecord } from './LogStorage.js';
import { membershipSchema } from './membership.js';
import type { LogEntry } from './types.js';

const indexSchema = z.int().min(0);

const bytesSchema = z.instanceof(Uint8Array);

const founderSchema = z.object({
  vm: z.string().min(1),
  incarnation: z.string(),
  address: z.string(),
});

const identitySchema = z.object({
  incarnation: z.string().min(1),
  founders: z.array(founderSchema),
  isFounded: z.boolean(),
});

const voteSchema = z.object({ term: indexSchema, votedFor: z.string() });

const snapshotSchema = z.object({
  index: indexSchema,
  term: indexSchema,
  membership: membershipSchema,
  data: bytesSchema,
});

/** Entries as tuples of term, kind and data; the index follows from the position. */
const batchSchema = z.object({
  firstIndex: z.int().min(1),
  entries: z
    .array(z.tuple([indexSchema, z.enum(['noop', 'membership', 'command']), bytesSchema]))
    .min(1),
});

function encodeJson(value: unknown): Uint8Array {
  return Buffer.from(JSON.stringify(value));
}

function decodeJson(payload: Uint8Array): unknown {
  return JSON.parse(Buffer.from(payload).toString());
}

export function encodeIdentity(identity: Identity): Uint8Array {
  return encodeJson(identity);
}

export function decodeIdentity(payload: Uint8Array): Identity {
  return identitySchema.parse(decodeJson(payload));
}

export function encodeVote(vote: VoteRecord): Uint8Array {
  return encodeJson(vote);
}

export function decodeVote(payload: Uint8Array): VoteRecord {
  return voteSchema.parse(decodeJson(payload));
}

export function encodeSnapshot(snapshot: Snapshot): Uint8Array {
  return serialize(snapshot);
}

export function decodeSnapshot(payload: Uint8Array): Snapshot {
  return snapshotSchema.parse(deserialize(payload));
}

/** Encodes at least one entry; their indexes are contiguous. */
export function encodeEntries(entries: readonly LogEntry[]): Uint8Array {
  const firstIndex = entries[0]!.index;
  return serialize({
    firstIndex,
    entries: entries.map(({ term, kind, data }) => [term, kind, data]),
  });
}

export function decodeEntries(payload: Uint8Array): LogEntry[] {
  const { firstIndex, entries } = batchSchema.parse(deserialize(payload));
  return entries.map(([term, kind, data], i) => ({ index: firstIndex + i, term, kind, data }));
}
