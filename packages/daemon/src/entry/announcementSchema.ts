/** Schema of the announcements that upstreams send. */
import { z } from 'zod';

const MAX_ID_LENGTH = 100;
const MAX_TARGETS_PER_REQUEST = 100;
const MAX_SLOTS = 100_000;

const idSchema = z
  .string()
  .regex(/^[A-Za-z0-9][A-Za-z0-9._-]*$/, 'expected letters, digits, dots, hyphens and underscores')
  .max(MAX_ID_LENGTH);

function isPort(address: string): boolean {
  const port = Number(address.slice(address.lastIndexOf(':') + 1));
  return port >= 1 && port <= 65_535;
}

const addressSchema = z.union([z.ipv4(), z.ipv6()]);

/** `ip:port`, with brackets around an IPv6 address. */
const targetAddressSchema = z
  .string()
  .max(MAX_ID_LENGTH)
  .refine((address) => {
    const match = /^(?:\[(.+)\]|([^[\]:]+)):\d{1,5}$/.exec(address);
    return match !== null && addressSchema.safeParse(match[1] ?? match[2]).success;
  }, 'expected ip:port')
  .refine(isPort, 'expected a port from 1 to 65535');

export const announcementSchema = z.strictObject({
  service: idSchema.describe('Service that the target answers'),
  target: idSchema.describe('Id of the target, unique within the service'),
  address: targetAddressSchema,
  dataCentre: idSchema,
  incarnation: z.number().int().min(0).describe('Grows with each start of the target'),
  sequence: z.number().int().min(0).describe('Grows with each announcement'),
  state: z.enum(['up', 'draining', 'leaving']),
  slots: z.number().int().min(1).max(MAX_SLOTS).describe('Requests it can run at once'),
  maxConnections: z.number().int().min(1).max(MAX_SLOTS),
  isCold: z.boolean().default(false),
});

/** One announcement, or several from the same sender. */
export const announcementBodySchema = z.union([
  announcementSchema,
  z.array(announcementSchema).min(1).max(MAX_TARGETS_PER_REQUEST),
]);

export type AnnouncementMessage = z.infer<typeof announcementSchema>;
