/** Converts what is known of requests under which targets ended from and to wire messages. */
import type { MessageInitShape } from '@bufbuild/protobuf';
import type {
  SuspectRequest,
  SuspectRequestSchema,
} from '@marigoldbank/protocol/gen/marigoldbank/v1/sync_pb';
import type { SuspectStatement } from '@marigoldbank/routing/PoisonTable';

export type SuspectRequestInit = MessageInitShape<typeof SuspectRequestSchema> & {
  readonly fingerprint: string;
};

const MAX_UINT32 = 4_294_967_295;

function ageOf(at: number, now: number): number {
  return Math.min(MAX_UINT32, Math.max(0, Math.round(now - at)));
}

export function toSuspectMessage(
  { fingerprint, losses, succeededAt }: SuspectStatement,
  now: number,
): SuspectRequestInit {
  return {
    fingerprint,
    losses: losses.map(({ target, born, sentAt, lostAt, isAccepting }) => ({
      target,
      born: BigInt(born),
      sentAgeMs: ageOf(sentAt, now),
      lostAgeMs: ageOf(lostAt, now),
      isAccepting,
    })),
    succeededAgeMs: succeededAt === undefined ? undefined : ageOf(succeededAt, now),
  };
}

export function toSuspectStatement(
  { fingerprint, losses, succeededAgeMs }: SuspectRequest,
  now: number,
): SuspectStatement {
  return {
    fingerprint,
    losses: losses.map(({ target, born, sentAgeMs, lostAgeMs, isAccepting }) => ({
      target,
      born: Number(born),
      sentAt: now - sentAgeMs,
      lostAt: now - lostAgeMs,
      isAccepting,
    })),
    succeededAt: succeededAgeMs === undefined ? undefined : now - succeededAgeMs,
  };
}
