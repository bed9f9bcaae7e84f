/** Maintains the desired number of voters without an operator: admits new members and replaces lost ones. */
import type { Client } from '@connectrpc/connect';
import { delay, setPeriodic, type Clock } from '@marigoldbank/base/clock';
import { DisposableStore } from '@marigoldbank/base/lifecycle';
import type { Logger } from '@marigoldbank/daemon/telemetry/Logger';
import type { LogService } from '@marigoldbank/protocol/gen/marigoldbank/v1/log_pb';
import type { IReplicatedLog, LogStatus, Member } from '@marigoldbank/replicated-log';
import { nextVoterChange } from './nextVoterChange.js';

const TICK_MS = 250;

/** A member without a leader for this long sends join requests, in case it was removed. */
const JOIN_AFTER_MS = 1_500;

const JOIN_TIMEOUT_MS = 1_000;

/** Longest time for which a voter that stops waits for its replacement: two changes of the membership, also at a busy leader. */
const LEAVE_MS = 1_000;
const LEAVE_CHECK_MS = 40;

/** A voter that has said that it stops and still is one after this time has probably been restarted. */
const LEAVING_MS = 2_000;

export interface VoterManagerContext {
  readonly clock: Clock;
  readonly log: IReplicatedLog;
  readonly logger: Logger;
  readonly desiredVoters: number;
  /** Addresses of the log services of the control VMs in the settings; they may be outdated. */
  readonly seeds: () => readonly string[];
  readonly clientOf: (address: string) => Pick<Client<typeof LogService>, 'join' | 'leave'>;
}

function isIn(members: readonly Member[], member: Member): boolean {
  return members.some(
    ({ vm, incarnation }) => vm === member.vm && incarnation === member.incarnation,
  );
}

/** A voter that is about to stop, and when it said so (monotonic ms). */
interface LeavingVoter extends Pick<Member, 'vm' | 'incarnation'> {
  readonly at: number;
}

export class VoterManager extends DisposableStore {
  private leaving: readonly LeavingVoter[] = [];

  /** Time (monotonic ms) since which this member has been the leader. */
  private leaderSince: number | undefined;

  /** Time (monotonic ms) at which this member last knew a leader. */
  private leaderSeenAt: number;

  /** Addresses of members that other control VMs have named: seeds may be outdated. */
  private readonly namedMembers = new Set<string>();

  private isBusy = false;

  public constructor(private readonly ctx: VoterManagerContext) {
    super();
    this.leaderSeenAt = ctx.clock.now();
    this.add(setPeriodic(ctx.clock, () => this.tick(), TICK_MS));
  }

  /** Adds a VM as learner. Returns false if this VM is not the leader or the change is not committed. */
  public async admit(member: Member): Promise<boolean> {
    const { log, logger } = this.ctx;
    const status = log.status();
    if (status.role !== 'leader') return false;
    const { voters, learners } = status.membership;
    if (isIn([...voters, ...learners], member)) return true;
    const { vm, incarnation, address } = member;
    const outcome = await log.addLearner({ vm, incarnation, address });
    logger.info('join request of a control VM processed', {
      member: vm,
      incarnation,
      outcome: outcome.kind,
    });
    return outcome.kind === 'committed';
  }

  /** Notes that a voter is about to stop, so that another member replaces it. Returns false if this VM does not lead. */
  public release({ vm, incarnation }: Pick<Member, 'vm' | 'incarnation'>): boolean {
    if (this.ctx.log.status().role !== 'leader') return false;
    const others = this.leaving.filter((other) => other.vm !== vm);
    this.leaving = [...others, { vm, incarnation, at: this.ctx.clock.now() }];
    this.tick();
    return true;
  }

  /**
   * Lets another member replace this voter before its process stops, so that no loss fewer is tolerated afterwards. Resolves
   * at once if there is no learner, and after a second at the latest.
   */
  public async leave(): Promise<void> {
    const { clock, log, logger } = this.ctx;
    const until = clock.now() + LEAVE_MS;
    const isReplaceable = (): boolean => {
      const { membership, self } = log.status();
      return isIn(membership.voters, self) && membership.learners.length > 0;
    };
    if (!isReplaceable()) return;
    while (isReplaceable() && clock.now() < until) {
      await this.askForRelease();
      await delay(clock, LEAVE_CHECK_MS);
    }
    const { membership, self } = log.status();
    logger.info('voter stops', { isReplaced: !isIn(membership.voters, self) });
  }

  private async askForRelease(): Promise<void> {
    const { log, logger, clientOf } = this.ctx;
    const { self, leader, role } = log.status();
    const { vm, incarnation } = self;
    if (role === 'leader') this.release(self);
    if (role === 'leader' || leader === undefined) return;
    try {
      await clientOf(leader.address).leave({ vm, incarnation }, { timeoutMs: LEAVE_MS });
    } catch (err) {
      logger.debug('request to leave failed', { leader: leader.vm, error: String(err) });
    }
  }

  private tick(): void {
    if (this.isBusy) return;
    const status = this.ctx.log.status();
    const now = this.ctx.clock.now();
    if (status.role !== 'leader') this.leaderSince = undefined;
    else this.leaderSince ??= now;
    if (status.leader !== undefined) this.leaderSeenAt = now;
    const work =
      status.role === 'leader' ? this.changeVoters(status, now) : this.requestJoin(status, now);
    this.isBusy = true;
    work
      .catch((err: unknown) => {
        this.ctx.logger.warn('voter maintenance failed', { error: String(err) });
      })
      .finally(() => {
        this.isBusy = false;
      });
  }

  private async changeVoters(status: LogStatus, now: number): Promise<void> {
    const { log, logger, desiredVoters } = this.ctx;
    const change = nextVoterChange(status, {
      desired: desiredVoters,
      leaving: status.membership.voters.filter((voter) =>
        this.leaving.some(
          ({ vm, incarnation, at }) =>
            vm === voter.vm && incarnation === voter.incarnation && now - at < LEAVING_MS,
        ),
      ),
      now,
      leaderSince: this.leaderSince ?? now,
    });
    if (change === undefined) return;
    const outcome =
      change.kind === 'promote'
        ? await log.promoteLearner(change.vm)
        : await log.removeMember(change.member.vm, change.member.incarnation);
    const member = change.kind === 'promote' ? change.vm : change.member.vm;
    logger.info('voter change processed', { change: change.kind, member, outcome: outcome.kind });
    // The removal of a voter leaves one too few, so its replacement is not left to the next tick.
    if (outcome.kind === 'committed') await this.changeVoters(log.status(), this.ctx.clock.now());
  }

  private async requestJoin(status: LogStatus, now: number): Promise<void> {
    const { membership, self } = status;
    const isMember = isIn([...membership.voters, ...membership.learners], self);
    const hasLeader = now - this.leaderSeenAt < JOIN_AFTER_MS;
    if (isMember && hasLeader) return;
    const members = [...membership.voters, ...membership.learners].map(({ address }) => address);
    const known = new Set([...this.ctx.seeds(), ...members, ...this.namedMembers]);
    known.delete(self.address);
    await Promise.all([...known].map((address) => this.sendJoin(address, self)));
  }

  private async sendJoin(address: string, self: Member): Promise<void> {
    try {
      const res = await this.ctx.clientOf(address).join(self, { timeoutMs: JOIN_TIMEOUT_MS });
      const { leaderAddress, memberAddresses } = res;
      [leaderAddress, ...memberAddresses]
        .filter((other) => other !== '')
        .forEach((other) => this.namedMembers.add(other));
    } catch (err) {
      this.ctx.logger.debug('join request failed', { member: address, error: String(err) });
    }
  }
}
