/** Connect service of a control VM for consensus messages. */
import type { ConnectRouter } from '@connectrpc/connect';
import { ConsensusService } from '@marigoldbank/protocol/gen/marigoldbank/v1/consensus_pb';
import type { IReplicatedLog } from '@marigoldbank/replicated-log';
import { toAppendEntries, toInstallSnapshot, toRequestVote } from './consensus-codec.js';

/** Registers the consensus service of a control VM. */
export function registerConsensus(router: ConnectRouter, log: IReplicatedLog): void {
  router.service(ConsensusService, {
    requestVote: async (req) => {
      const res = await log.handleRequestVote(toRequestVote(req));
      return { term: BigInt(res.term), granted: res.granted };
    },
    appendEntries: async (req) => {
      const res = await log.handleAppendEntries(toAppendEntries(req));
      return {
        term: BigInt(res.term),
        success: res.success,
        matchIndex: BigInt(res.matchIndex),
      };
    },
    installSnapshot: async (req) => {
      const res = await log.handleInstallSnapshot(toInstallSnapshot(req));
      return { term: BigInt(res.term), success: res.success };
    },
  });
}
