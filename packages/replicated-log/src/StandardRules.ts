/** The safety rules used in production. */
import type { ConsensusState } from './ConsensusState.js';
import { includesMember, majorityOf } from './quorum.js';
import { SafetyRules } from './SafetyRules.js';
import type { Member, RequestVoteRequest } from './types.js';

export class StandardRules extends SafetyRules {
  public override isAddressee(state: ConsensusState, toIncarnation: string): boolean {
    return toIncarnation === state.self.incarnation;
  }

  public override mayVote(state: ConsensusState, req: RequestVoteRequest): boolean {
    if (state.isVoter) return true;
    const { lastTerm, lastIndex } = state.log;
    const isCandidateAhead =
      req.lastTerm > lastTerm || (req.lastTerm === lastTerm && req.lastIndex > lastIndex);
    return state.isLearner && isCandidateAhead;
  }

  public override mayCampaign(state: ConsensusState): boolean {
    return state.isVoter;
  }

  public override isCaughtUp(matchIndex: number, commitIndex: number): boolean {
    return matchIndex >= commitIndex;
  }

  public override isReadConfirmed(
    acknowledgedBy: readonly Member[],
    voters: readonly Member[],
  ): boolean {
    const count = voters.filter((voter) => includesMember(acknowledgedBy, voter)).length;
    return count >= majorityOf(voters.length);
  }
}
