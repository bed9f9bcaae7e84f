/** Serves the log service of a control VM. */
import type { MessageInitShape } from '@bufbuild/protobuf';
import type { ConnectRouter } from '@connectrpc/connect';
import {
  LogService,
  type ConfirmResponseSchema,
} from '@marigoldbank/protocol/gen/marigoldbank/v1/log_pb';
import type { IReplicatedLog } from '@marigoldbank/replicated-log';
import { toVersion } from '../sync/plan-version.js';
import type { HubDirectory } from './HubDirectory.js';
import type { LogFeed } from './LogFeed.js';
import type { CommandSubmitter } from './CommandSubmitter.js';
import type { CommitHistory } from './CommitHistory.js';
import type { SlotTable } from './SlotTable.js';
import type { StateConfirmation } from './StateConfirmation.js';
import type { VoterManager } from './VoterManager.js';

/** Parts of a control VM that the service exposes. */
export interface LogServiceParts {
  readonly log: Pick<IReplicatedLog, 'status'>;
  readonly feed: Pick<LogFeed, 'watch'>;
  readonly directory: Pick<HubDirectory, 'setHubs'>;
  readonly slots: Pick<SlotTable, 'set'>;
  readonly history: Pick<CommitHistory, 'updateFrom'>;
  readonly confirmation: Pick<StateConfirmation, 'confirmLeadership'>;
  readonly submitter: Pick<CommandSubmitter, 'accept'>;
  readonly voterManager: Pick<VoterManager, 'admit' | 'release'>;
}

/** The answer to a question for the confirmation of a leader; `index` is undefined at another member. */
export function toConfirmResponse(
  index: number | undefined,
): Exclude<MessageInitShape<typeof ConfirmResponseSchema>, { readonly $typeName: string }> {
  return index === undefined ? { isLeader: false } : { isLeader: true, index: BigInt(index) };
}

/** Registers the service with a router. */
export function registerLogService(router: ConnectRouter, parts: LogServiceParts): void {
  const { log, feed, directory, slots, history, confirmation, submitter, voterManager } = parts;
  router.service(LogService, {
    watch: (req) => {
      directory.setHubs(req.hubs);
      slots.set(req.slots);
      return feed.watch(req);
    },

    confirm: async () => toConfirmResponse(await confirmation.confirmLeadership()),

    submit: async ({ commands }) => ({ isCommitted: await submitter.accept(commands) }),

    fetchPlan: ({ heldPlan, isStored }) => history.updateFrom(toVersion(heldPlan), isStored) ?? {},

    join: async (req) => {
      const isAccepted = await voterManager.admit(req);
      const { leader, membership } = log.status();
      return {
        isAccepted,
        leaderAddress: leader?.address ?? '',
        memberAddresses: [...membership.voters, ...membership.learners].map(
          ({ address }) => address,
        ),
      };
    },

    leave: (req) => ({ isAccepted: voterManager.release(req) }),
  });
}
