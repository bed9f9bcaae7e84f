/** Safety rules for tests, with one of them switched off. */
import type { ConsensusState } from '../ConsensusState.js';
import { StandardRules } from '../StandardRules.js';
import type { Member, RequestVoteRequest } from '../types.js';

export type SwitchedOff = 'readConfirmation' | 'caughtUpCheck' | 'incarnationCheck';

export class WeakenedRules extends StandardRules {
  public constructor(private readonly off: SwitchedOff) {
    super();
  }

  /** Without the check a member answers to every incarnation of its VM, and as the voter that it was. */
  public override isAddressee(state: ConsensusState, toIncarnation: string): boolean {
    return this.off === 'incarnationCheck' || super.isAddressee(state, toIncarnation);
  }

  public override mayVote(state: ConsensusState, req: RequestVoteRequest): boolean {
    return this.off === 'incarnationCheck' || super.mayVote(state, req);
  }

  public override isCaughtUp(matchIndex: number, commitIndex: number): boolean {
    return this.off === 'caughtUpCheck' || super.isCaughtUp(matchIndex, commitIndex);
  }

  public override isReadConfirmed(
    acknowledgedBy: readonly Member[],
    voters: readonly Member[],
  ): boolean {
    return this.off === 'readConfirmation' || super.isReadConfirmed(acknowledgedBy, voters);
  }
}
