/** Schemas of the replicated configuration, as it is sent to entries. */
import { EMPTY_LISTS, listsSchema } from '@marigoldbank/lists/schema';
import { z } from 'zod';

export const entryRecordSchema = z.object({
  vm: z.string(),
  dataCentre: z.string(),
  /** `ip:port` where callers connect. */
  callerAddress: z.string(),
  /** `ip:port` of the internal listener. */
  internalAddress: z.string(),
});

export const viewSchema = z.object({
  /** Grows by one with each change of the set of entries or of an entry's data centre. */
  epoch: z.number().int(),
  entries: z.array(entryRecordSchema),
});

export const issuedKeySchema = z.object({
  team: z.string(),
  /** SHA-256 of the key's secret, hex. */
  hash: z.string(),
  issuedAt: z.string(),
});

export const fleetConfigSchema = z.object({
  /** Grows by one with each recorded change of the configuration. 0 before the first. */
  revision: z.number().int(),
  /** Revision at which the lists last changed. */
  listsRevision: z.number().int(),
  lists: listsSchema,
  /** Issued keys by key id. A key works while the team's list also names its id. */
  keys: z.record(z.string(), issuedKeySchema),
  view: viewSchema,
  /** Entries that an operator has set to draining. */
  drainingEntries: z.array(z.string()),
  /** VMs that an operator removed; they join again only by an operator's `addEntry`. */
  removedEntries: z.array(z.string()),
});

export type EntryRecord = z.infer<typeof entryRecordSchema>;
export type FleetView = z.infer<typeof viewSchema>;
export type IssuedKey = z.infer<typeof issuedKeySchema>;
export type FleetConfig = z.infer<typeof fleetConfigSchema>;

/** The configuration before the first change. */
export const EMPTY_CONFIG: FleetConfig = {
  revision: 0,
  listsRevision: 0,
  lists: EMPTY_LISTS,
  keys: {},
  view: { epoch: 0, entries: [] },
  drainingEntries: [],
  removedEntries: [],
};
