/** Safety rules for tests, with one of the checks disabled. */
import type { ConsensusState } from '../ConsensusState.js';
import { StandardRules } from '../StandardRules.js';
import type { Member, RequestVoteRequest } from '../types.js';

export type DisabledCheck = 'readConfirmation' | 'caughtUpCheck' | 'incarnationCheck';

export class WeakenedRules extends StandardRules {
  public constructor(private readonly disabled: DisabledCheck) {
    super();
  }

  /** Without the check a member accepts messages to any incarnation of its VM, and votes after the loss of its disk. */
  public override isAddressee(state: ConsensusState, toIncarnation: string): boolean {
    return this.disabled === 'incarnationCheck' || super.isAddressee(state, toIncarnation);
  }

  public override mayVote(state: ConsensusState, req: RequestVoteRequest): boolean {
    return this.disabled === 'incarnationCheck' || super.mayVote(state, req);
  }

  public override isCaughtUp(matchIndex: number, commitIndex: number): boolean {
    return this.disabled === 'caughtUpCheck' || super.isCaughtUp(matchIndex, commitIndex);
  }

  public override isReadConfirmed(
    acknowledgedBy: readonly Member[],
    voters: readonly Member[],
  ): boolean {
    return this.disabled === 'readConfirmation' || super.isReadConfirmed(acknowledgedBy, voters);
  }
}
