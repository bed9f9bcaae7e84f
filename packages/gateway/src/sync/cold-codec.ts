/** Converts what the messages of a hub say about the coldness of targets. */
import type { Target } from '@marigoldbank/protocol/gen/marigoldbank/v1/sync_pb';
import type { ColdAnnouncement } from '@marigoldbank/routing/ColdTargets';

/** Longest time for which the description of a target waits at a hub: the age of a snapshot, and the delay of a batch. */
const MAX_DESCRIPTION_AGE_MS = 350;

/**
 * Builds an announcement from a message of a hub that had handled the report which this entry sent at `handledReportMs` of
 * its own clock; 0 if the hub does not say. The message is younger than that report, however long it was under way.
 */
export function toColdAnnouncement(target: Target, handledReportMs: number): ColdAnnouncement {
  const { id, service, dataCentre, born, seq, coldMs, ageMs } = target;
  return {
    id,
    service,
    dataCentre,
    born: Number(born),
    seq: Number(seq),
    coldMs,
    receivedAfter:
      handledReportMs > 0 ? handledReportMs - ageMs - MAX_DESCRIPTION_AGE_MS : -Infinity,
  };
}
