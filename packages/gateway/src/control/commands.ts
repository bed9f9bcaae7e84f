/** Commands of the replicated log and the state that they build. */
import { z } from 'zod';
import { planSchema } from '@marigoldbank/routing/plan';

const putPlanSchema = z.object({
  kind: z.literal('putPlan'),
  /** The operator's document as it came. */
  document: z.string(),
  plan: planSchema,
});

const markLeavingSchema = z.object({
  kind: z.literal('markLeaving'),
  id: z.string(),
  /** Start of the incarnation that leaves, Unix ms; 0 if unknown. */
  born: z.number(),
  /** Whether the target has left, rather than only being drained. */
  isGone: z.boolean(),
  /** Wall-clock time of the command, Unix ms; old marks are dropped by it. */
  at: z.number(),
});

export const commandSchema = z.discriminatedUnion('kind', [putPlanSchema, markLeavingSchema]);

export type Command = z.infer<typeof commandSchema>;

/** A target that reported that it leaves. */
export const leavingMarkSchema = z.object({
  born: z.number(),
  isGone: z.boolean(),
  at: z.number(),
});

export type LeavingMark = z.infer<typeof leavingMarkSchema>;

export const stateSchema = z.object({
  document: z.string(),
  plan: planSchema.nullable(),
  leaving: z.record(z.string(), leavingMarkSchema),
});

/** `superseded` is acknowledged too: a newer version is in force. */
export type CommandResult = 'applied' | 'superseded';

export function encodeCommand(command: Command): Uint8Array {
  return Buffer.from(JSON.stringify(command));
}
