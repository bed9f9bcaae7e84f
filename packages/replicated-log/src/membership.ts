/** Encoding of memberships in log entries and files. */
import { z } from 'zod';
import type { Membership } from './types.js';

export const memberSchema = z.object({
  vm: z.string().min(1),
  incarnation: z.string().min(1),
  address: z.string().min(1),
});

export const membershipSchema = z.object({
  voters: z.array(memberSchema),
  learners: z.array(memberSchema),
});

/** Membership of a member that belongs to no group yet. */
export const EMPTY_MEMBERSHIP: Membership = { voters: [], learners: [] };

/** Encodes a membership as the data of a log entry. */
export function encodeMembership(membership: Membership): Uint8Array {
  return new TextEncoder().encode(JSON.stringify(membershipSchema.parse(membership)));
}

/** Decodes the data of a membership entry. Throws if it does not hold a membership. */
export function decodeMembership(data: Uint8Array): Membership {
  return membershipSchema.parse(JSON.parse(new TextDecoder().decode(data)));
}
