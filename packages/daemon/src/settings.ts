/** Settings of the daemon: the schema of its TOML file. */
import { z } from 'zod';

const addressSchema = z
  .string()
  .regex(/^(?:\d{1,3}(?:\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/, 'expected ip:port');

const secretSchema = z.string().min(16, 'expected at least 16 characters');

export const settingsSchema = z.strictObject({
  vm: z.string().min(1).describe('Id of this VM, unique in the fleet'),
  dataCentre: z.string().min(1).describe('Data centre of this VM'),
  roles: z
    .array(z.enum(['control', 'entry']))
    .min(1)
    .describe('What this daemon does'),
  /** Required by the control role. The entry role keeps a synced copy of the configuration there. */
  dataFolder: z.string().optional().describe('Folder for durable state'),
  callerAddress: addressSchema.optional().describe('Where callers connect; needed by an entry'),
  internalAddress: addressSchema.describe('Where other daemons, upstreams and operators connect'),
  listen: z
    .strictObject({
      caller: addressSchema.optional().describe('Where to listen for callers, if it differs'),
      internal: addressSchema.optional().describe('Where to listen internally, if it differs'),
    })
    .default({})
    .describe('Local addresses, where they differ from the addresses that others connect to'),
  outgoingAddress: z.string().optional().describe('Local IP for connections to other daemons'),
  control: z
    .array(z.strictObject({ vm: z.string().min(1), address: addressSchema }))
    .min(1)
    .describe('Control VMs with their internal addresses'),
  peers: z
    .array(addressSchema)
    .default([])
    .describe('Internal addresses of a few entries, asked after a restart while control is away'),
  bootstrap: z
    .boolean()
    .default(false)
    .describe('Whether an empty data folder starts a new fleet with the voters in `control`'),
  secrets: z.strictObject({
    peer: secretSchema.describe('Shared by the daemons'),
    operator: secretSchema.describe('Shared by operators'),
    announcement: secretSchema.describe('Shared by upstreams'),
  }),
  log: z
    .strictObject({ level: z.enum(['debug', 'info', 'warn', 'error']).default('info') })
    .default({ level: 'info' }),
});

export type Settings = z.infer<typeof settingsSchema>;
