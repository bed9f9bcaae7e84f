/** Notices of evacuations as messages. */
import type { Evacuation } from '@marigoldbank/protocol/gen/marigoldbank/v1/sync_pb';
import type { EvacuationNotice } from '@marigoldbank/routing/EvacuatedDataCentres';

export function toEvacuationNotices(messages: readonly Evacuation[]): EvacuationNotice[] {
  return messages.map(({ dataCentre, isEvacuated, index }) => ({
    dataCentre,
    isEvacuated,
    index: Number(index),
  }));
}
