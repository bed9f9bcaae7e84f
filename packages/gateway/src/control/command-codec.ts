/**
 * Encodes commands for the replicated log, and reads them. A plan command holds the operator's document and the plan made of
 * it, some 30 kB that are sent to members in all data centres. Compressed once, when it is proposed, it is a quarter of that at
 * each member and in each file.
 */
import { deflateRawSync, inflateRawSync } from 'node:zlib';
import { z } from 'zod';
import { commandBytesTotal } from '../metrics.js';
import { appliesTo } from '../plan-scope.js';
import type { GatewaySettings } from '../settings.js';
import { commandSchema, encodeCommand, type Command, type CommandInit } from './commands.js';

/** Smaller commands gain little. */
const MIN_COMPACT_BYTES = 1_024;

/**
 * Larger commands are always compressed. Plain ones would be compressed by the channels for each member again, and kept in that size
 * by each log. Members of the release before read both forms.
 */
const MAX_PLAIN_BYTES = 65_536;

/** A command that would be larger is not read. Documents are limited to less when they are proposed. */
const MAX_COMMAND_BYTES = 256 * 1_024 * 1_024;

/** The synchronous call takes 0.1 ms for 33 kB (x86-64); compression beside the event loop takes several of its turns. */
const DEFLATE_OPTIONS = { level: 6 };

/**
 * Members of a release before this form skip such a command as one they do not know. `kind` and `version` stand first, as in
 * the plain form, and are read without the rest.
 */
const compactCommandSchema = z.object({
  kind: z.literal('putPlan'),
  version: z.number(),
  /** The plain form, as raw deflate in base64. */
  deflated: z.string(),
});

function compress(
  command: CommandInit & { readonly kind: 'putPlan' },
  plain: Uint8Array,
): Uint8Array {
  const deflated = deflateRawSync(plain, DEFLATE_OPTIONS).toString('base64');
  const { kind } = command;
  return Buffer.from(JSON.stringify({ kind, version: command.plan.version, deflated }));
}

/** Encodes a plan command in the compressed form if it has at least `minBytes` in the plain one. */
export function encodeCompactCommand(
  command: CommandInit,
  minBytes: number = MIN_COMPACT_BYTES,
): Uint8Array {
  const plain = encodeCommand(command);
  const isPlain = command.kind !== 'putPlan' || plain.length < minBytes;
  const data = isPlain ? plain : compress(command, plain);
  if (command.kind === 'putPlan') {
    commandBytesTotal.inc({ form: isPlain ? 'plain' : 'compact' }, data.length);
  }
  return data;
}

/**
 * How a member encodes commands: large ones compressed, and all for plans under which traffic between data centres has a price.
 */
export function commandEncoder({
  placement,
}: Pick<GatewaySettings, 'placement'>): (command: CommandInit) => Uint8Array {
  return (command) => {
    const hasPrice =
      placement?.crossingPrice !== undefined &&
      command.kind === 'putPlan' &&
      appliesTo(placement.plans, command.plan);
    return encodeCompactCommand(command, hasPrice ? MIN_COMPACT_BYTES : MAX_PLAIN_BYTES);
  };
}

/** Reads both forms. Undefined for a command of a newer release. Throws if the bytes are no command of any release. */
export function decodeCommand(data: Uint8Array): Command | undefined {
  const value: unknown = JSON.parse(Buffer.from(data).toString());
  const compact = compactCommandSchema.safeParse(value);
  if (!compact.success) return commandSchema.safeParse(value).data;
  const deflated = Buffer.from(compact.data.deflated, 'base64');
  const plain = inflateRawSync(deflated, { maxOutputLength: MAX_COMMAND_BYTES });
  return commandSchema.safeParse(JSON.parse(plain.toString())).data;
}
