/** State of one member, shared by its parts. */
import type { Identity } from './LogStorage.js';
import type { MemoryLog } from './MemoryLog.js';
import { includesMember, isSameMember } from './quorum.js';
import type { LogStatus, Member, Membership } from './types.js';

/**
 * Initialised from the storage, then written only by `RoleManager` (term, vote, role, leader), `Applier` (commit index)
 * and `GroupBootstrap` (identity).
 */
export class ConsensusState {
  public term = 0;

  /** Key of the candidate that got the vote in this term, empty for none. */
  public votedFor = '';

  public role: LogStatus['role'] = 'follower';

  public leader: Member | undefined;

  public commitIndex = 0;

  /** Monotonic ms of the last valid message of a leader. */
  public lastLeaderContactAt = -Infinity;

  public constructor(
    public readonly self: Member,
    public identity: Identity,
    public readonly log: MemoryLog,
  ) {}

  public get membership(): Membership {
    return this.log.membership;
  }

  public get isVoter(): boolean {
    return includesMember(this.membership.voters, this.self);
  }

  public get isLearner(): boolean {
    return includesMember(this.membership.learners, this.self);
  }

  /** The other voters of the membership in force. */
  public get otherVoters(): Member[] {
    return this.membership.voters.filter((member) => !isSameMember(member, this.self));
  }
}
