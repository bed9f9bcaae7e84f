/** Converts levels to messages and back. */
import type { MessageInitShape } from '@bufbuild/protobuf';
import type {
  ServiceLevel,
  ServiceLevelSchema,
} from '@marigoldbank/protocol/gen/marigoldbank/v1/sync_pb';
import type { Level } from '@marigoldbank/routing/load/LevelPolicy';

const PERMILLE = 1_000;

export type ServiceLevelInit = Exclude<
  MessageInitShape<typeof ServiceLevelSchema>,
  { readonly $typeName: string }
>;

const toPermille = (share: number): number => Math.round(share * PERMILLE);

export function toLevelMessage(service: string, level: Level): ServiceLevelInit {
  const { ranks, teams, waitMs } = level;
  return {
    service,
    ranks: [...ranks].map(([rank, share]) => ({ rank, admittedPermille: toPermille(share) })),
    teams: [...teams].map(([team, share]) => ({ team, admittedPermille: toPermille(share) })),
    waitMs: Math.round(waitMs),
  };
}

export function toLevel({ ranks, teams, waitMs }: ServiceLevel): Level {
  return {
    ranks: new Map(ranks.map(({ rank, admittedPermille: p }) => [rank, p / PERMILLE])),
    teams: new Map(teams.map(({ team, admittedPermille: p }) => [team, p / PERMILLE])),
    waitMs,
  };
}
