/** Encodes what was admitted for a team lately. */
import type { MessageInitShape } from '@bufbuild/protobuf';
import type { TeamHistorySchema } from '@marigoldbank/protocol/gen/marigoldbank/v1/sync_pb';
import type { TeamHistory } from '@marigoldbank/routing/TeamHistories';

export function toTeamHistoryMessage({
  team,
  admitted,
}: TeamHistory): MessageInitShape<typeof TeamHistorySchema> {
  return { team, admitted: [...admitted] };
}
