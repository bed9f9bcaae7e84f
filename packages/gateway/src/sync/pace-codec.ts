/** Paces of targets as messages. */
import type { MessageInitShape } from '@bufbuild/protobuf';
import type {
  TargetPace,
  TargetPaceSchema,
} from '@marigoldbank/protocol/gen/marigoldbank/v1/sync_pb';
import type { PaceStatement } from '@marigoldbank/routing/load/TargetPaces';

const PERMILLE = 1_000;
const TENTHS = 10;

export type TargetPaceInit = Exclude<
  MessageInitShape<typeof TargetPaceSchema>,
  { readonly $typeName: string }
>;

export function toPaceMessage({ id, born, pace, outcomes }: PaceStatement): TargetPaceInit {
  if (pace === undefined) return { id, born: BigInt(born) };
  return {
    id,
    born: BigInt(born),
    pacePermille: Math.max(1, Math.round(PERMILLE * pace.pace)),
    roomPermille: Math.round(PERMILLE * pace.room),
    ...(outcomes === Infinity ? {} : { outcomesTenths: Math.round(TENTHS * outcomes) }),
  };
}

/** A statement for entries, which is taken as it is. */
export function fromPaceMessage(message: TargetPace): PaceStatement {
  const { id, born, pacePermille, roomPermille } = message;
  const pace =
    pacePermille === 0
      ? undefined
      : { pace: pacePermille / PERMILLE, room: Math.min(1, roomPermille / PERMILLE) };
  return { id, born: Number(born), pace, outcomes: Infinity };
}

/** A statement of another hub. */
export function fromHubPace(message: TargetPace): PaceStatement {
  return { ...fromPaceMessage(message), outcomes: message.outcomesTenths / TENTHS };
}
