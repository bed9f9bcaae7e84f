/** Terms, roles and elections. */
import type { IDisposable } from '@marigoldbank/base/lifecycle';
import type { ConsensusContext } from './context.js';
import { Leader } from './Leader.js';
import { majorityOf, memberKey } from './quorum.js';
import type { Member, RequestVoteRequest, RequestVoteResponse } from './types.js';

const REFUSED: RequestVoteResponse = { term: 0, granted: false };

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

  public constructor(private readonly ctx: ConsensusContext) {
    this.startedAt = ctx.clock.now();
    this.postponeElection();
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
      const granted = req.term > state.term && this.isEligible(req);
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

  private tryVote(req: RequestVoteRequest): boolean {
    const { state, writer } = this.ctx;
    const candidate = memberKey(req.candidate);
    if (req.term !== state.term || !this.isEligible(req)) return false;
    if (state.votedFor !== '' && state.votedFor !== candidate) return false;
    if (state.votedFor === '') {
      state.votedFor = candidate;
      writer.markVote();
    }
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
    const { clock, random, tuning, state } = this.ctx;
    const now = clock.now();
    const isNew = now - this.startedAt < tuning.electionTimeoutMaxMs;
    const timeoutMs =
      isNew && state.lastLeaderContactAt === -Infinity
        ? random.between(tuning.firstElectionTimeoutMinMs, tuning.firstElectionTimeoutMaxMs)
        : random.between(tuning.electionTimeoutMinMs, tuning.electionTimeoutMaxMs);
    this.electionDueAt = now + timeoutMs;
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
      this.postponeElection();
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
    this.collectVotes(true, state.term + 1, () => this.startElection());
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
        if (state.term !== term || state.role !== 'candidate') return;
        this.collectVotes(false, term, () => this.startLeading());
      })
      .catch(() => {
        // The writer reports its failure to the owner of the log.
      });
  }

  /** Requests votes of the other voters; `onWon` is called at most once, and only while role and term are unchanged. */
  private collectVotes(isPreVote: boolean, term: number, onWon: () => void): void {
    const { state, transport } = this.ctx;
    const { role, term: ownTerm } = state;
    const needed = majorityOf(state.membership.voters.length);
    let granted = 1;
    const isCurrent = (): boolean =>
      !this.isDisposed && state.role === role && state.term === ownTerm && granted < needed;
    if (granted >= needed) {
      onWon();
      return;
    }
    state.otherVoters.forEach((voter) => {
      const req = this.createVoteRequest(voter, isPreVote, term);
      transport
        .requestVote(voter, req)
        .then((res) => {
          if (this.isDisposed) return;
          if (!res.granted) {
            this.observeTerm(res.term);
            return;
          }
          if (!isCurrent()) return;
          granted += 1;
          if (granted >= needed) onWon();
        })
        .catch(() => {
          // An unreachable voter grants nothing; the next election timeout tries again.
        });
    });
  }

  private createVoteRequest(to: Member, isPreVote: boolean, term: number): RequestVoteRequest {
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
