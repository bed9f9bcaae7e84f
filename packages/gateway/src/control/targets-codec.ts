/** Converts targets between announcements, wire messages and routing state. */
import type { MessageInitShape } from '@bufbuild/protobuf';
import type { Target, TargetSchema } from '@marigoldbank/protocol/gen/marigoldbank/v1/sync_pb';
import type { TargetInfo } from '@marigoldbank/routing/TargetTable';
import type { Announcement } from '../announcement.js';
import type { RegisteredTarget } from './TargetRegistry.js';

export type TargetInit = MessageInitShape<typeof TargetSchema> & { readonly id: string };

/** Builds the message that describes a registered target to entries and hubs. */
export function toTargetMessage(target: RegisteredTarget, now: number): TargetInit {
  const { announcement, announcedAt } = target;
  const ageMs = Math.max(0, Math.round(now - announcedAt));
  return {
    id: announcement.id,
    address: announcement.address,
    service: announcement.service,
    dataCentre: announcement.dataCentre,
    version: announcement.version,
    slots: announcement.slots,
    isDraining: announcement.isDraining,
    coldMs: Math.max(0, Math.round(announcement.coldMs - ageMs)),
    born: BigInt(announcement.born),
    seq: BigInt(announcement.seq),
    ageMs,
  };
}

export function toAnnouncement(target: Target): Announcement {
  return {
    id: target.id,
    address: target.address,
    service: target.service,
    dataCentre: target.dataCentre,
    version: target.version,
    slots: target.slots,
    isDraining: target.isDraining,
    // The remaining time refers to when the message was made, and that of an announcement to when it was received.
    coldMs: target.coldMs === 0 ? 0 : target.coldMs + target.ageMs,
    born: Number(target.born),
    seq: Number(target.seq),
  };
}

export function toTargetInfo(target: TargetInit): TargetInfo {
  const { id, address = '', service = '', dataCentre = '', slots = 1 } = target;
  const { isDraining = false, coldMs = 0 } = target;
  return { id, address, service, dataCentre, slots, isDraining, coldMs };
}
