/** Schemas of the two operator lists. Types, checks and documentation derive from them. */
import { z } from 'zod';

const ID_PATTERN = /^[a-z0-9][a-z0-9-]{0,62}$/;
const PATH_PATTERN =
  /^\/(?:(?:[A-Za-z0-9._~-]+|:[a-z][A-Za-z0-9]*|\*)(?:\/(?:[A-Za-z0-9._~-]+|:[a-z][A-Za-z0-9]*|\*))*)?$/;

const DEFAULT_FLOOR = 0.6;
const DEFAULT_TIMEOUT_MS = 5_000;
const DEFAULT_MAX_BODY_BYTES = 1_048_576;

/** Identifier of a team, plan, service or route. */
export const idSchema = z
  .string()
  .regex(ID_PATTERN, 'expected lower-case letters, digits and hyphens, at most 63 characters');

const keyIdSchema = z
  .string()
  .regex(/^[a-z0-9]{4,32}$/, 'expected 4 to 32 lower-case letters and digits');

export const teamSchema = z.strictObject({
  plan: idSchema.describe('Plan of the team, defined in plans.toml'),
  keys: z.array(keyIdSchema).default([]).describe('Ids of the keys that work, never the keys'),
});

export const serviceSchema = z.strictObject({
  profile: z
    .enum(['prompt-detection', 'fair-share'])
    .default('prompt-detection')
    .describe('How soon a target is ejected against how sure the evidence must be'),
  floor: z
    .number()
    .min(0.1)
    .max(1)
    .default(DEFAULT_FLOOR)
    .describe('Least share of the announced targets that stays in rotation'),
});

export const routeSchema = z.strictObject({
  service: idSchema.describe('Service that answers the route'),
  methods: z
    .array(z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS']))
    .min(1)
    .describe('HTTP methods of the route'),
  path: z
    .string()
    .regex(PATH_PATTERN, 'expected a path such as /orders/:id or /maps/*')
    .describe('Path; `:name` matches one segment, a final `*` the rest'),
  idempotent: z
    .boolean()
    .default(false)
    .describe('Whether the request may be sent again after it may have run'),
  open: z.boolean().default(false).describe('Whether the route needs no key'),
  timeoutMs: z
    .number()
    .int()
    .min(10)
    .max(600_000)
    .default(DEFAULT_TIMEOUT_MS)
    .describe('Time for a whole answer, in milliseconds'),
  maxBodyBytes: z
    .number()
    .int()
    .min(0)
    .max(67_108_864)
    .default(DEFAULT_MAX_BODY_BYTES)
    .describe('Largest request body, in bytes'),
});

export const planSchema = z.strictObject({
  rate: z.number().positive().max(1e6).describe('Requests a second over the whole fleet'),
  burst: z.number().positive().max(1e6).describe('Requests that may come at once'),
  routes: z.array(idSchema).default([]).describe('Routes that the plan may use'),
  services: z.array(idSchema).default([]).describe('Services of which the plan may use all routes'),
});

/** Content of teams.toml. */
export const teamsListSchema = z.strictObject({
  teams: z.record(idSchema, teamSchema).default({}),
});

/** Content of plans.toml. */
export const plansListSchema = z.strictObject({
  services: z.record(idSchema, serviceSchema).default({}),
  routes: z.record(idSchema, routeSchema).default({}),
  plans: z.record(idSchema, planSchema).default({}),
});

/** Both lists. */
export const listsSchema = z.strictObject({
  ...teamsListSchema.shape,
  ...plansListSchema.shape,
});

export type Team = z.infer<typeof teamSchema>;
export type Service = z.infer<typeof serviceSchema>;
export type Route = z.infer<typeof routeSchema>;
export type Plan = z.infer<typeof planSchema>;
export type Lists = z.infer<typeof listsSchema>;
export type HttpMethod = Route['methods'][number];

/** Empty lists, as before the first `apply`. */
export const EMPTY_LISTS: Lists = { teams: {}, services: {}, routes: {}, plans: {} };
