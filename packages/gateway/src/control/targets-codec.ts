/** Targets on the wire between own processes. */
import type { MessageInitShape } from '@bufbuild/protobuf';
import type { Target, TargetSchema } from '@marigoldbank/protocol/gen/marigoldbank/v1/sync_pb';
import type { TargetInfo } from '@marigoldbank/routing/TargetTable';
import type { Announcement } from '../ProtocolAdapter.js';
import type { RegisteredTarget } from './TargetRegistry.js';

export type TargetInit = MessageInitShape<typeof TargetSchema> & { readonly id: string };

/** A registered target as sent to entries and hubs. */
export function fromRegistered(target: RegisteredTarget, now: number): TargetInit {
  const { announcement, heardAt } = target;
  const ageMs = Math.max(0, Math.round(now - heardAt));
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
    coldMs: target.coldMs,
    born: Number(target.born),
    seq: Number(target.seq),
  };
}

export function toInfo(target: TargetInit): TargetInfo {
  const { id, address = '', service = '', dataCentre = '', slots = 1 } = target;
  const { isDraining = false, coldMs = 0 } = target;
  return { id, address, service, dataCentre, slots, isDraining, coldMs };
}
