/** Changes of the replicated configuration, their results and the audit trail. */
import {
  listsSchema,
  planSchema,
  routeSchema,
  serviceSchema,
  teamSchema,
} from '@marigoldbank/lists/schema';
import { z } from 'zod';
import { entryRecordSchema } from './config.js';

const header = {
  /** Chosen by the operator's command; a resend with the same id returns the first result. */
  changeId: z.string().min(1).max(100),
  /** Who makes the change. */
  operator: z.string().min(1).max(100),
  /** ISO time at the proposer, for the audit trail only. */
  at: z.string(),
};

/** Difference between two versions of the lists; null removes an entry. */
export const listsPatchSchema = z.object({
  teams: z.record(z.string(), teamSchema.nullable()),
  services: z.record(z.string(), serviceSchema.nullable()),
  routes: z.record(z.string(), routeSchema.nullable()),
  plans: z.record(z.string(), planSchema.nullable()),
});

export const changeSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('applyLists'),
    ...header,
    /** Lists revision that the lists were edited from. */
    baseListsRevision: z.number().int(),
    lists: listsSchema,
  }),
  /** Written to the log by the leader in place of `applyLists`: its size depends on the edit, not on the lists. */
  z.object({
    kind: z.literal('patchLists'),
    ...header,
    baseListsRevision: z.number().int(),
    patch: listsPatchSchema,
  }),
  z.object({
    kind: z.literal('issueKey'),
    ...header,
    team: z.string(),
    keyId: z.string(),
    /** SHA-256 of the secret, hex. */
    hash: z.string().regex(/^[0-9a-f]{64}$/),
  }),
  z.object({ kind: z.literal('withdrawKey'), ...header, keyId: z.string() }),
  z.object({ kind: z.literal('addEntry'), ...header, entry: entryRecordSchema }),
  /** Sent by the leader for VMs that poll for the first time or have moved; removed VMs among them are left out. */
  z.object({ kind: z.literal('joinEntries'), ...header, entries: z.array(entryRecordSchema) }),
  /** Sent by the leader once a majority of the view with this epoch has it in force. Creates no revision. */
  z.object({ kind: z.literal('acceptView'), ...header, epoch: z.number().int() }),
  z.object({ kind: z.literal('removeEntry'), ...header, vm: z.string() }),
  z.object({
    kind: z.literal('setEntryDraining'),
    ...header,
    vm: z.string(),
    isDraining: z.boolean(),
  }),
]);

export const changeResultSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('recorded'), revision: z.number().int() }),
  /** The change has no effect on the configuration in force and creates no revision. */
  z.object({ kind: z.literal('unchanged'), revision: z.number().int() }),
  z.object({
    kind: z.literal('conflict'),
    currentListsRevision: z.number().int(),
    /** What changed since the base, newest last. */
    changedSince: z.array(
      z.object({ revision: z.number().int(), operator: z.string(), summary: z.string() }),
    ),
  }),
  z.object({ kind: z.literal('rejected'), reasons: z.array(z.string()) }),
]);

export const auditRecordSchema = z.object({
  sequence: z.number().int(),
  /** Revision in force after the change. */
  revision: z.number().int(),
  at: z.string(),
  operator: z.string(),
  changeId: z.string(),
  changeKind: z.string(),
  /** Description of the change. */
  summary: z.string(),
  result: changeResultSchema,
  /** SHA-256 (hex) of the previous record; 64 zeros for the first. */
  previousHash: z.string(),
  /** SHA-256 (hex) over the record without this field. */
  hash: z.string(),
});

export type ListsPatch = z.infer<typeof listsPatchSchema>;
export type Change = z.infer<typeof changeSchema>;
export type ChangeKind = Change['kind'];
export type ChangeResult = z.infer<typeof changeResultSchema>;
export type AuditRecord = z.infer<typeof auditRecordSchema>;
