/** Encodes how many requests of a team used a token, less those that were not run after all. */
import type { MessageInitShape } from '@bufbuild/protobuf';
import type { TeamUse, TeamUseSchema } from '@marigoldbank/protocol/gen/marigoldbank/v1/sync_pb';

export function toTeamUse(team: string, used: number): MessageInitShape<typeof TeamUseSchema> {
  return { team, admitted: Math.max(0, used), returned: Math.max(0, -used) };
}

export function usedOf({ admitted, returned }: TeamUse): number {
  return admitted - returned;
}
