/** Maintains the desired number of voters without an operator: admits new members and replaces lost ones. */
import type { Client } from '@connectrpc/connect';
import { setPeriodic, type Clock } from '@marigoldbank/base/clock';
import { DisposableStore } from '@marigoldbank/base/lifecycle';
import type { Logger } from '@marigoldbank/daemon/telemetry/Logger';
import type { LogService } from '@marigoldbank/protocol/gen/marigoldbank/v1/log_pb';
import type { IReplicatedLog, LogStatus, Member } from '@marigoldbank/replicated-log';
import { nextVoterChange } from './nextVoterChange.js';

const TICK_MS = 250;

/** A member without a leader for this long sends join requests, in case it was removed. */
const JOIN_AFTER_MS = 1_500;

const JOIN_TIMEOUT_MS = 1_000;

export interface VoterManagerContext {
  readonly clock: Clock;
  readonly log: IReplicatedLog;
  readonly logger: Logger;
  readonly desiredVoters: number;
  /** Addresses of the log services of the control VMs in the settings; they may be outdated. */
  readonly seeds: () => readonly string[];
  readonly clientOf: (address: string) => Pick<Client<typeof LogService>, 'join'>;
}

function isIn(members: readonly Member[], member: Member): boolean {
  return members.some(
    ({ vm, incarnation }) => vm === member.vm && incarnation === member.incarnation,
  );
}

export class VoterManager extends DisposableStore {
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
