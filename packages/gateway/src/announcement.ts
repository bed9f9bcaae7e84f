/** Registrations that targets send about themselves at intervals. */
import { isIPv4 } from 'node:net';
import { z } from 'zod';

const MAX_PORT = 65_535;

/** Far above any server; the messages between VMs hold up to 2^32 - 1. */
const MAX_SLOTS = 65_535;

/** A target that claims to be slow for longer than a day after its start is not one to use. */
const MAX_COLD_MS = 86_400_000;

const MAX_NAME_LENGTH = 1_000;

function isAddress(text: string): boolean {
  const [ip = '', port = '', ...rest] = text.split(':');
  const isPort = /^\d{1,5}$/.test(port) && Number(port) >= 1 && Number(port) <= MAX_PORT;
  return isIPv4(ip) && isPort && rest.length === 0;
}

const name = z.string().max(MAX_NAME_LENGTH);

const counter = z.number().int().min(0).max(Number.MAX_SAFE_INTEGER);

export const announcementSchema = z.object({
  id: name.min(1),
  /** `ip:port`. */
  address: z.string().refine(isAddress),
  service: name.min(1),
  dataCentre: name,
  /** Version that the target reports about itself; not used for routing. */
  version: name,
  /** Number of requests that the target can process at the same time. */
  slots: z.number().int().min(1).max(MAX_SLOTS),
  isDraining: z.boolean(),
  /** Remaining time (ms) in which the target is still slow after its start. */
  coldMs: z.number().min(0).max(MAX_COLD_MS),
  /** Sequence number of the announcement; starts again with each incarnation. */
  seq: counter,
  /** Start of the target's current incarnation (Unix ms), 0 if unknown. */
  born: counter,
});

export type Announcement = z.infer<typeof announcementSchema>;

/** Whether an announcement names a target that can be used, and fits the messages between VMs. */
export function isUsable(announcement: Announcement): boolean {
  return announcementSchema.safeParse(announcement).success;
}
