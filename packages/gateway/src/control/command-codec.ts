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

/** Encodes a plan command in the compressed form if that is worth it. */
export function encodeCompactCommand(command: CommandInit): Uint8Array {
  const plain = encodeCommand(command);
  if (command.kind !== 'putPlan' || plain.length < MIN_COMPACT_BYTES) return plain;
  const deflated = deflateRawSync(plain, DEFLATE_OPTIONS).toString('base64');
  const { kind } = command;
  return Buffer.from(JSON.stringify({ kind, version: command.plan.version, deflated }));
}

/** How a member encodes commands: compressed for plans under which traffic between data centres has a price. */
export function commandEncoder({
  placement,
}: Pick<GatewaySettings, 'placement'>): (command: CommandInit) => Uint8Array {
  if (placement?.crossingPrice === undefined) return encodeCommand;
  const { plans } = placement;
  return (command) => {
    const isCompact = command.kind === 'putPlan' && appliesTo(plans, command.plan);
    const data = isCompact ? encodeCompactCommand(command) : encodeCommand(command);
    commandBytesTotal.inc({ form: isCompact ? 'compact' : 'plain' }, data.length);
    return data;
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
