/** Terms, roles and elections. */
import type { IDisposable } from '@marigoldbank/base/lifecycle';
import type { ConsensusContext } from './context.js';
import { Leader } from './Leader.js';
import { majorityOf, memberKey } from './quorum.js';
import type { Member, RequestVoteRequest, RequestVoteResponse } from './types.js';

const REFUSED: RequestVoteResponse = { term: 0, granted: false };

/** A candidate that got a pre-vote of this member, or this member itself. */
interface Endorsement {
  readonly candidate: string;
  readonly lastTerm: number;
  readonly lastIndex: number;
  /** Monotonic ms. */
  readonly at: number;
}

/** Whether a candidate goes before another one: the one with the newer log, then that with the lower key. */
function goesBefore(a: Omit<Endorsement, 'at'>, b: Endorsement): boolean {
  if (a.lastTerm !== b.lastTerm) return a.lastTerm > b.lastTerm;
  if (a.lastIndex !== b.lastIndex) return a.lastIndex > b.lastIndex;
  return a.candidate < b.candidate;
}

/**
 * Votes of one kind for one term. They are counted until the term changes, however late they come: on a VM whose processes
 * are starting, a vote takes longer than the next election timeout.
 */
interface Ballot {
  readonly isPreVote: boolean;
  /** Term in which the winner would lead. */
  readonly term: number;
  /** Term of this member while the votes count. */
  readonly ownTerm: number;
  readonly grantedBy: Set<string>;
  /** Monotonic ms at which voters were asked that have not answered yet. */
  readonly asked: Map<string, number>;
  readonly onWon: () => void;
  isWon: boolean;
}

/** Manages the role of this member. Once it exists, nothing else writes the term, vote, role and leader. */
export class RoleManager implements IDisposable {
  private activeLeader: Leader | undefined;

  private timer: IDisposable | undefined;

  private electionDueAt = 0;

  private timerDueAt = 0;

  /** Whether the election timeout was extended when the timer last fired. */
  private hasExtendedTimeout = false;

  private isDisposed = false;

  private readonly startedAt: number;

  /** Time (monotonic ms) at which this member last learnt of an election of another one, or voted in it. */
  private electionSeenAt = -Infinity;

  private preVoteBallot: Ballot | undefined;

  private endorsement: Endorsement | undefined;

  public constructor(private readonly ctx: ConsensusContext) {
    this.startedAt = ctx.clock.now();
    this.postponeFirstElection();
    this.armTimer();
  }

  /** The leadership of this member, if it is the leader. */
  public get leader(): Leader | undefined {
    return this.activeLeader;
  }

  /** Adopts a higher term, without a leader yet. */
  public observeTerm(term: number): void {
    const { state, writer } = this.ctx;
    if (term <= state.term) return;
    state.term = term;
    state.votedFor = '';
    writer.markVote();
    this.becomeFollower(undefined);
    // Another member has started an election, and its requests for votes may still be on their way.
    this.electionSeenAt = this.ctx.clock.now();
  }

  /** Follows the leader of the current term. */
  public follow(leader: Member): void {
    const { state, clock } = this.ctx;
    if (state.role !== 'follower') this.becomeFollower(leader);
    state.leader = leader;
    state.lastLeaderContactAt = clock.now();
    this.postponeElection();
  }

  /** Gives up leadership or candidacy within the current term. */
  public stepDown(): void {
    this.becomeFollower(undefined);
    this.postponeElection();
  }

  /** Answers a candidate; a granted vote is durable before the answer. */
  public async handleRequestVote(req: RequestVoteRequest): Promise<RequestVoteResponse> {
    const { state, writer, rules } = this.ctx;
    if (!rules.isAddressee(state, req.toIncarnation)) return REFUSED;
    if (this.hasRecentLeader()) return { term: state.term, granted: false };
    if (req.isPreVote) {
      const isPossible = req.term > state.term && this.isEligible(req);
      const granted = isPossible && !this.hasRecentElection() && this.tryEndorse(req);
      return { term: state.term, granted };
    }
    this.observeTerm(req.term);
    const granted = this.tryVote(req);
    await writer.flush();
    return { term: state.term, granted };
  }

  public dispose(): void {
    this.isDisposed = true;
    this.timer?.dispose();
    this.becomeFollower(undefined);
  }

  /**
   * While a leader is alive its followers reject candidates without adopting their term, so that a member that returns
   * from a network partition cannot depose it.
   */
  private hasRecentLeader(): boolean {
    const { state, clock, tuning } = this.ctx;
    if (this.activeLeader !== undefined) return this.activeLeader.hasQuorumContact();
    return clock.now() - state.lastLeaderContactAt < tuning.electionTimeoutMinMs;
  }

  /**
   * Of the candidates that ask at about the same time, all members prefer the same one, and the others withdraw. If several got
   * the pre-votes of a majority, they would split the votes, and the next election would come after a whole timeout.
   */
  private tryEndorse({ candidate, lastTerm, lastIndex }: RequestVoteRequest): boolean {
    const { state, clock, tuning } = this.ctx;
    const now = clock.now();
    const current = this.endorsement;
    const asked = { candidate: memberKey(candidate), lastTerm, lastIndex };
    const isBound =
      current !== undefined &&
      current.candidate !== asked.candidate &&
      now - current.at < tuning.firstElectionTimeoutMaxMs;
    if (isBound && !goesBefore(asked, current)) return false;
    this.endorsement = { ...asked, at: now };
    if (state.role === 'preCandidate') {
      this.preVoteBallot = undefined;
      this.stepDown();
    }
    return true;
  }

  /** Another election would end the one that is under way, before its votes have arrived. */
  private hasRecentElection(): boolean {
    const { clock, tuning } = this.ctx;
    return clock.now() - this.electionSeenAt < tuning.electionTimeoutMinMs;
  }

  private tryVote(req: RequestVoteRequest): boolean {
    const { state, writer } = this.ctx;
    const candidate = memberKey(req.candidate);
    if (req.term !== state.term || !this.isEligible(req)) return false;
    if (state.votedFor !== '' && state.votedFor !== candidate) return false;
    if (state.votedFor === '') {
      state.votedFor = candidate;
      writer.markVote();
    }
    this.electionSeenAt = this.ctx.clock.now();
    this.postponeElection();
    return true;
  }

  private isEligible(req: RequestVoteRequest): boolean {
    const { state, rules } = this.ctx;
    const { lastTerm, lastIndex } = state.log;
    const isUpToDate =
      req.lastTerm > lastTerm || (req.lastTerm === lastTerm && req.lastIndex >= lastIndex);
    return isUpToDate && rules.mayVote(state, req);
  }

  private becomeFollower(leader: Member | undefined): void {
    const { state } = this.ctx;
    const former = this.activeLeader;
    state.role = 'follower';
    state.leader = leader;
    this.activeLeader = undefined;
    former?.dispose();
  }

  private postponeElection(): void {
    const { electionTimeoutMinMs, electionTimeoutMaxMs } = this.ctx.tuning;
    this.setElectionTimeout(electionTimeoutMinMs, electionTimeoutMaxMs);
  }

  /** The first elections after a start come sooner: after a restart of the whole group there is no leader to wait for. */
  private postponeFirstElection(): void {
    const { clock, tuning, state } = this.ctx;
    const isNew = clock.now() - this.startedAt < tuning.electionTimeoutMaxMs;
    if (isNew && state.lastLeaderContactAt === -Infinity && this.electionSeenAt === -Infinity) {
      this.setElectionTimeout(tuning.firstElectionTimeoutMinMs, tuning.firstElectionTimeoutMaxMs);
    } else this.postponeElection();
  }

  private setElectionTimeout(minMs: number, maxMs: number): void {
    const { clock, random } = this.ctx;
    this.electionDueAt = clock.now() + random.between(minMs, maxMs);
  }

  private armTimer(): void {
    if (this.isDisposed) return;
    const { clock } = this.ctx;
    const delayMs = Math.max(1, this.electionDueAt - clock.now());
    this.timerDueAt = clock.now() + delayMs;
    this.timer = clock.setTimeout(() => this.onTimer(), delayMs);
  }

  private onTimer(): void {
    const { state, rules, clock, tuning } = this.ctx;
    const now = clock.now();
    // Messages of the leader that arrived while this process was paused are read after its timers.
    this.hasExtendedTimeout =
      !this.hasExtendedTimeout && now - this.timerDueAt > tuning.heartbeatIntervalMs;
    if (this.hasExtendedTimeout) this.electionDueAt = now + tuning.heartbeatIntervalMs;
    if (now >= this.electionDueAt) {
      this.postponeFirstElection();
      if (state.role !== 'leader') {
        state.leader = undefined;
        // A candidate whose vote cannot be stored would only raise the term.
        if (rules.mayCampaign(state) && !this.ctx.writer.isDiskFull) this.startPreVote();
      }
    }
    this.armTimer();
  }

  private startPreVote(): void {
    const { state } = this.ctx;
    state.role = 'preCandidate';
    const { lastTerm, lastIndex } = state.log;
    const candidate = memberKey(state.self);
    this.endorsement = { candidate, lastTerm, lastIndex, at: this.ctx.clock.now() };
    if (this.preVoteBallot?.ownTerm !== state.term) {
      this.preVoteBallot = this.createBallot(true, state.term + 1, () => this.startElection());
    }
    this.collectVotes(this.preVoteBallot);
  }

  private startElection(): void {
    const { state, writer } = this.ctx;
    state.role = 'candidate';
    state.term += 1;
    state.votedFor = memberKey(state.self);
    writer.markVote();
    this.postponeElection();
    const { term } = state;
    writer
      .flush()
      .then(() => {
        if (state.term !== term) return;
        this.collectVotes(this.createBallot(false, term, () => this.startLeading()));
      })
      .catch(() => {
        // The writer reports its failure to the owner of the log.
      });
  }

  private createBallot(isPreVote: boolean, term: number, onWon: () => void): Ballot {
    const { state } = this.ctx;
    return {
      isPreVote,
      term,
      ownTerm: state.term,
      grantedBy: new Set([memberKey(state.self)]),
      asked: new Map(),
      onWon,
      isWon: false,
    };
  }

  /** Requests the votes that are missing. `onWon` is called at most once, while there is no leader in the term. */
  private collectVotes(ballot: Ballot): void {
    const { state, transport } = this.ctx;
    this.countVotes(ballot);
    state.otherVoters
      .filter((voter) => !ballot.grantedBy.has(memberKey(voter)))
      .filter((voter) => !this.isAnswerDue(ballot, voter))
      .forEach((voter) => {
        if (!this.isOpen(ballot)) return;
        const key = memberKey(voter);
        ballot.asked.set(key, this.ctx.clock.now());
        transport
          .requestVote(voter, this.createVoteRequest(voter, ballot))
          .then((res) => {
            ballot.asked.delete(key);
            if (this.isDisposed) return;
            if (!res.granted) {
              this.observeTerm(res.term);
              return;
            }
            ballot.grantedBy.add(key);
            this.countVotes(ballot);
          })
          .catch(() => {
            // An unreachable voter grants nothing; the next election timeout tries again.
            ballot.asked.delete(key);
          });
      });
  }

  /** Whether a voter that was asked may still answer. A message may have been lost. */
  private isAnswerDue({ asked }: Ballot, voter: Member): boolean {
    const { clock, tuning } = this.ctx;
    const askedAt = asked.get(memberKey(voter)) ?? -Infinity;
    return clock.now() - askedAt < tuning.electionTimeoutMinMs;
  }

  private isOpen({ isPreVote, ownTerm, isWon }: Ballot): boolean {
    const { state } = this.ctx;
    if (isPreVote && this.preVoteBallot?.ownTerm !== ownTerm) return false;
    return (
      !this.isDisposed &&
      !isWon &&
      state.term === ownTerm &&
      state.role !== 'leader' &&
      state.leader === undefined
    );
  }

  private countVotes(ballot: Ballot): void {
    const { voters } = this.ctx.state.membership;
    if (!this.isOpen(ballot)) return;
    const granted = voters.filter((voter) => ballot.grantedBy.has(memberKey(voter)));
    if (granted.length < majorityOf(voters.length)) return;
    Object.assign(ballot, { isWon: true });
    ballot.onWon();
  }

  private createVoteRequest(to: Member, { isPreVote, term }: Ballot): RequestVoteRequest {
    const { self, log } = this.ctx.state;
    return {
      candidate: self,
      term,
      lastIndex: log.lastIndex,
      lastTerm: log.lastTerm,
      isPreVote,
      toIncarnation: to.incarnation,
    };
  }

  private startLeading(): void {
    const { state } = this.ctx;
    state.role = 'leader';
    state.leader = state.self;
    this.activeLeader = new Leader(this.ctx, {
      observeTerm: (term) => this.observeTerm(term),
      stepDown: () => this.stepDown(),
    });
    this.activeLeader.start();
  }
}
