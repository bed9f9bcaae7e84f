/** Connects the budgets of teams to the entries and the other hubs. */
import { teamToleranceOf } from '../settings.js';
import { OWN_HUB, type EntryRegistry } from './EntryRegistry.js';
import type { EntrySession } from './EntrySession.js';
import type { HubContext } from './HubContext.js';
import type { HubPeers } from './HubPeers.js';
import { TeamBudgets } from './TeamBudgets.js';

interface BudgetParts {
  readonly entries: EntryRegistry;
  readonly peers: HubPeers;
  readonly sessions: ReadonlyMap<string, EntrySession>;
}

export function createTeamBudgets(
  { logger, log, settings, stateMachine }: HubContext,
  { entries, peers, sessions }: BudgetParts,
): TeamBudgets {
  return new TeamBudgets({
    logger,
    isLeader: () => log.isLeader,
    leaderLastMessageAt: () => peers.leader?.lastMessageAt ?? -Infinity,
    entries: (now) => ({
      own: entries.entriesOf(OWN_HUB).length,
      connected: entries.size,
      expected: entries.expectedSize(now),
    }),
    tolerance: teamToleranceOf(settings, () => stateMachine.current?.plan),
    sendToLeader: (histories, granted) => {
      const link = peers.leader === undefined ? undefined : peers.linkTo(peers.leader);
      link?.addTeamHistories(histories, granted);
    },
    sendToEntries: (modes) =>
      modes.forEach(({ team, isTight }) =>
        sessions.forEach((session) => session.setTeamMode(team, isTight)),
      ),
    sendToHubs: (teamStates, budgetHolder) =>
      peers.send({ teamStates: [...teamStates], budgetHolder }),
  });
}
