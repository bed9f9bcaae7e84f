/** Rules on which the safety of the log depends, in a class of their own so that tests can disable one at a time. */
import type { ConsensusState } from './ConsensusState.js';
import type { Member, RequestVoteRequest } from './types.js';

export abstract class SafetyRules {
  /** Whether a message addressed to an incarnation is meant for this member. */
  public abstract isAddressee(state: ConsensusState, toIncarnation: string): boolean;

  /**
   * Whether this member may vote. A voter may. A learner may only if the candidate's log is ahead of its own: that log
   * may contain the learner's promotion, and the candidate may then need the learner's vote for a majority.
   */
  public abstract mayVote(state: ConsensusState, req: RequestVoteRequest): boolean;

  /** Whether this member may start an election. */
  public abstract mayCampaign(state: ConsensusState): boolean;

  /** Whether a learner's log holds everything committed. */
  public abstract isCaughtUp(matchIndex: number, commitIndex: number): boolean;

  /** Whether a round of heartbeats, acknowledged by `acknowledgedBy` (leader included), confirms a read. */
  public abstract isReadConfirmed(
    acknowledgedBy: readonly Member[],
    voters: readonly Member[],
  ): boolean;
}
