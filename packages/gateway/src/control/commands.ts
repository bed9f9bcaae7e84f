/** Schemas of the commands in the replicated log and of the snapshot of their state. */
import { createHash } from 'node:crypto';
import { z } from 'zod';
import { planSchema, type RoutingPlan } from '@marigoldbank/routing/plan';

/** Incremented when older releases cannot read plans of a newer one. */
const PLAN_FORMAT = 1;

/**
 * Checks only the version. Plans are fully validated before they are proposed; validating each one again would slow
 * down log replay.
 */
const proposedPlanSchema = z.custom<RoutingPlan>(
  (value) => planSchema.pick({ version: true }).safeParse(value).success,
);

const putPlanSchema = z.object({
  kind: z.literal('putPlan'),
  /** The operator's document, unchanged. */
  document: z.string(),
  plan: proposedPlanSchema,
  format: z.literal(PLAN_FORMAT).default(PLAN_FORMAT),
});

const markLeavingSchema = z.object({
  kind: z.literal('markLeaving'),
  id: z.string(),
  /** Start of the incarnation that leaves, Unix ms; 0 if unknown. */
  born: z.number(),
  /** Whether the target has left, rather than only being drained. */
  isGone: z.boolean(),
  /** Wall-clock time of the command, Unix ms; marks expire by it. */
  at: z.number(),
});

const orderEvacuationSchema = z.object({
  kind: z.literal('orderEvacuation'),
  dataCentre: z.string(),
  /** False for an order that ends the evacuation. */
  isEvacuated: z.boolean(),
  /** Number of earlier orders for the data centre. After any other number the order has no effect. */
  base: z.number().int().min(0),
  /** Tells the sender whether this order or another one was applied on the base. */
  id: z.string(),
});

export const commandSchema = z.discriminatedUnion('kind', [
  putPlanSchema,
  markLeavingSchema,
  orderEvacuationSchema,
]);

export type Command = z.infer<typeof commandSchema>;

/** A command as it is proposed. */
export type CommandInit = z.input<typeof commandSchema>;

/** State of a target that is leaving. */
export const leavingMarkSchema = z.object({
  born: z.number(),
  isGone: z.boolean(),
  at: z.number(),
});

export type LeavingMark = z.infer<typeof leavingMarkSchema>;

/** Orders to evacuate a data centre, or to end that. */
export const evacuationStateSchema = z.object({
  isEvacuated: z.boolean(),
  /** Number of orders that were applied, also of those that changed nothing. */
  orders: z.number().int().min(1),
  /** Index in the log of the last order that changed `isEvacuated`, 0 if none did. */
  index: z.number().int().min(0),
  /** Id of the last order. */
  lastOrder: z.string(),
});

export type EvacuationState = z.infer<typeof evacuationStateSchema>;

export const stateSchema = z.object({
  document: z.string(),
  plan: proposedPlanSchema.nullable(),
  leaving: z.record(z.string(), leavingMarkSchema),
  /** By data centre; absent from snapshots of an older release. */
  evacuations: z.record(z.string(), evacuationStateSchema).default({}),
});

/**
 * `superseded`: the command had no effect, since the plan in force has the same or a newer version, a later incarnation
 * is marked, an evacuation was ordered on the same base before, or the command is unknown. The sender is acknowledged as for
 * `applied`, except for an evacuation.
 */
export type CommandResult = 'applied' | 'superseded';

/** The version comes first, so that it can be read without parsing the plan. Parsers ignore it. */
export function encodeCommand(command: CommandInit): Uint8Array {
  const { kind } = command;
  const head = kind === 'putPlan' ? { kind, version: command.plan.version } : { kind };
  return Buffer.from(JSON.stringify({ ...head, ...command }));
}

/** Names the effect of a command: the same for one that is sent again later, when its time differs. */
export function commandKey(command: CommandInit): string {
  if (command.kind === 'markLeaving') {
    const { id, born, isGone } = command;
    return JSON.stringify(['leaving', id, born, isGone]);
  }
  if (command.kind === 'orderEvacuation') return JSON.stringify(['evacuation', command.id]);
  const digest = createHash('sha256').update(command.document).digest('base64');
  return JSON.stringify(['plan', command.plan.version, digest]);
}

const PLAN_HEAD = /^\{"kind":"putPlan","version":(\d+),/;
const PLAN_HEAD_BYTES = 64;

/** Version of the plan that a command sets, undefined for another command and one of an older release. */
export function readPlanVersion(data: Uint8Array): number | undefined {
  const head = Buffer.from(data.subarray(0, PLAN_HEAD_BYTES)).toString('latin1');
  const version = PLAN_HEAD.exec(head)?.[1];
  return version === undefined ? undefined : Number(version);
}

const COMMAND_HEAD = /^\{"kind":"markLeaving"/;

const EVACUATION_HEAD = /^\{"kind":"orderEvacuation"/;

export function isEvacuationCommand(data: Uint8Array): boolean {
  return EVACUATION_HEAD.test(Buffer.from(data.subarray(0, PLAN_HEAD_BYTES)).toString('latin1'));
}

export function isLeavingCommand(data: Uint8Array): boolean {
  return COMMAND_HEAD.test(Buffer.from(data.subarray(0, PLAN_HEAD_BYTES)).toString('latin1'));
}
