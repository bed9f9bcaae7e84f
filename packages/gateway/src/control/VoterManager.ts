/** Keeps the wanted number of voters without an operator: admits members, replaces lost ones. */
import type { Client } from '@connectrpc/connect';
import { setPeriodic, type Clock } from '@marigoldbank/base/clock';
import { DisposableStore } from '@marigoldbank/base/lifecycle';
import type { Logger } from '@marigoldbank/daemon/telemetry/Logger';
import type { SyncService } from '@marigoldbank/protocol/gen/marigoldbank/v1/sync_pb';
import type { IReplicatedLog, LogStatus, Member } from '@marigoldbank/replicated-log';
import { nextVoterChange } from './nextVoterChange.js';

const TICK_MS = 250;

/** A member that hears no leader for this long asks to be admitted, in case it was removed. */
const ASK_AFTER_MS = 1_500;

const JOIN_TIMEOUT_MS = 1_000;

export interface VoterKeeperContext {
  readonly clock: Clock;
  readonly log: IReplicatedLog;
  readonly logger: Logger;
  readonly wantedVoters: number;
  /** Addresses of the state streams of other control VMs. */
  readonly hubs: () => readonly string[];
  readonly clientOf: (address: string) => Client<typeof SyncService>;
}

function isIn(members: readonly Member[], member: Member): boolean {
  return members.some(
    ({ vm, incarnation }) => vm === member.vm && incarnation === member.incarnation,
  );
}

export class VoterManager extends DisposableStore {
  private readonly joined = new Map<string, Member>();

  private leaderSince: number | undefined;

  private leaderHeardAt: number;

  private isBusy = false;

  public constructor(private readonly ctx: VoterKeeperContext) {
    super();
    this.leaderHeardAt = ctx.clock.now();
    this.add(setPeriodic(ctx.clock, () => this.tick(), TICK_MS));
  }

  /** Adds a VM as learner. Returns false if this VM does not lead. */
  public async admit(member: Member): Promise<boolean> {
    const { log, logger } = this.ctx;
    const status = log.status();
    if (status.role !== 'leader') return false;
    this.joined.set(member.vm, member);
    const { voters, learners } = status.membership;
    if (isIn([...voters, ...learners], member)) return true;
    const { vm, incarnation, address } = member;
    const outcome = await log.addLearner({ vm, incarnation, address });
    logger.info('control VM asked to join', { member: vm, incarnation, outcome: outcome.kind });
    return outcome.kind === 'committed';
  }

  private tick(): void {
    if (this.isBusy) return;
    const status = this.ctx.log.status();
    const now = this.ctx.clock.now();
    if (status.role !== 'leader') this.leaderSince = undefined;
    else this.leaderSince ??= now;
    if (status.leader !== undefined) this.leaderHeardAt = now;
    const work = status.role === 'leader' ? this.keep(status, now) : this.askToJoin(status, now);
    this.isBusy = true;
    work
      .catch((err: unknown) => {
        this.ctx.logger.warn('keeping the voters failed', { error: String(err) });
      })
      .finally(() => {
        this.isBusy = false;
      });
  }

  private async keep(status: LogStatus, now: number): Promise<void> {
    const { log, logger, wantedVoters } = this.ctx;
    const change = nextVoterChange(status, {
      wanted: wantedVoters,
      joined: [...this.joined.values()],
      now,
      leaderSince: this.leaderSince ?? now,
    });
    if (change === undefined) return;
    const outcome =
      change.kind === 'promote'
        ? await log.promoteLearner(change.vm)
        : await log.removeMember(change.member.vm, change.member.incarnation);
    const member = change.kind === 'promote' ? change.vm : change.member.vm;
    logger.info('voters change', { change: change.kind, member, outcome: outcome.kind });
  }

  private async askToJoin(status: LogStatus, now: number): Promise<void> {
    const { membership, self } = status;
    const isMember = isIn([...membership.voters, ...membership.learners], self);
    const hasLeader = now - this.leaderHeardAt < ASK_AFTER_MS;
    if (isMember && hasLeader) return;
    await Promise.all(this.ctx.hubs().map((address) => this.ask(address, self)));
  }

  private async ask(address: string, self: Member): Promise<void> {
    try {
      await this.ctx.clientOf(address).join(self, { timeoutMs: JOIN_TIMEOUT_MS });
    } catch (err) {
      this.ctx.logger.debug('join was not answered', { hub: address, error: String(err) });
    }
  }
}
