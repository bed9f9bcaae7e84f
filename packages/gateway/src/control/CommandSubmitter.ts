/**
 * Brings commands into the replicated log from any member. A member that does not lead forwards them to the leader until they
 * are committed, whether the caller still waits or not: the leader may answer late, and a call that is repeated at any member
 * finds the command under way or in effect.
 */
import { Code, ConnectError, type Client } from '@connectrpc/connect';
import type { Clock } from '@marigoldbank/base/clock';
import { Emitter } from '@marigoldbank/base/events';
import { DisposableStore, type IDisposable } from '@marigoldbank/base/lifecycle';
import type { Logger } from '@marigoldbank/daemon/telemetry/Logger';
import type { LogService } from '@marigoldbank/protocol/gen/marigoldbank/v1/log_pb';
import { transferMs, type IReplicatedLog, type Member } from '@marigoldbank/replicated-log';
import { isNewerVersion } from '@marigoldbank/routing/plan';
import { commandKey, readPlanVersion, type CommandInit } from './commands.js';
import type { PlanStateMachine } from './PlanStateMachine.js';

/** Interval at which commands without an outcome are checked and sent again where that is due. */
const CHECK_MS = 20;

/**
 * A command is sent to the same leader again after this time and that of its transfer: the connection may have gone silent. Sooner
 * would keep a leader busy that answers late.
 */
const RESEND_MS = 1_000;

/** The same after an answer without the commit or a failure: the member may have lost its leadership a moment ago. */
const RETRY_MS = 100;

/**
 * Calls to one leader at a time. Further commands wait and share the next call, for 150 ms at most: a leader without processor
 * time answers a call only after a second.
 */
const MAX_CALLS = 2;
const NEXT_CALL_MS = 150;

/** Besides the transfer. A command counts as committed as soon as it is in effect here, so a later answer is not needed. */
const CALL_TIMEOUT_MS = 2_000;

/** Commits that take longer are logged. */
const SLOW_COMMIT_MS = 250;

/** A command is pursued for this long after the last call that asked for it. */
const PURSUE_MS = 4_000;

/**
 * `committed`: in effect, or superseded. `pending`: sent to a leader, without an outcome yet. `notSent`: no leader was known;
 * the command will not be sent. `unsupported`: the leader is of a release that takes no commands from other members.
 */
export type SubmitOutcome = 'committed' | 'pending' | 'notSent' | 'unsupported';

/** A command on the way to the leader. */
export interface ForwardedCommand {
  readonly key: string;
  readonly data: Uint8Array;
}

export interface CommandSubmitterContext {
  readonly clock: Clock;
  readonly log: Pick<IReplicatedLog, 'status' | 'propose'>;
  readonly stateMachine: Pick<
    PlanStateMachine,
    'current' | 'isInEffect' | 'onDidApply' | 'onDidRestore'
  >;
  readonly logger: Logger;
  /** How commands are stored and sent to other members. */
  readonly encode: (command: CommandInit) => Uint8Array;
  readonly clientOf: (address: string) => Pick<Client<typeof LogService>, 'submit'>;
}

interface Submission extends ForwardedCommand {
  readonly command: CommandInit;
  readonly settle: Emitter<SubmitOutcome>;
  waiters: number;
  pursueUntil: number;
  sentAt: number;
  /** VM of the leader to which it was sent last. */
  sentTo: string | undefined;
}

export class CommandSubmitter extends DisposableStore {
  private readonly submissions = new Map<string, Submission>();

  /** Proposals of this member as leader that are not applied yet, by key. */
  private readonly proposals = new Map<string, Promise<boolean>>();

  /** Leader that was called last, when, and the calls to it without an answer. */
  private called = { vm: '', at: -Infinity, open: 0 };

  private timer: IDisposable | undefined;

  public constructor(private readonly ctx: CommandSubmitterContext) {
    super();
    this.add(ctx.stateMachine.onDidApply(() => this.settleCommitted()));
    this.add(ctx.stateMachine.onDidRestore(() => this.settleCommitted()));
  }

  /** Submits a command and waits up to `waitMs` for its outcome. */
  public submit(command: CommandInit, waitMs: number): Promise<SubmitOutcome> {
    const { clock, stateMachine } = this.ctx;
    if (stateMachine.isInEffect(command)) return Promise.resolve('committed');
    const submission = this.submissionOf(command);
    submission.waiters += 1;
    submission.pursueUntil = clock.now() + PURSUE_MS;
    return new Promise((resolve) => {
      const waiting = new DisposableStore();
      const finish = (outcome: SubmitOutcome): void => {
        waiting.dispose();
        submission.waiters -= 1;
        resolve(outcome);
      };
      waiting.add(submission.settle.event(finish));
      waiting.add(clock.setTimeout(() => finish(this.giveUp(submission)), waitMs));
      this.check();
    });
  }

  /**
   * Proposes commands as leader. Resolves with true once they are committed, and with false if this member does not lead or
   * lost its leadership meanwhile.
   */
  public async accept(commands: readonly ForwardedCommand[]): Promise<boolean> {
    const { clock, logger } = this.ctx;
    const startedAt = clock.now();
    const outcomes = await Promise.all(commands.map((command) => this.propose(command)));
    const isCommitted = outcomes.every(Boolean);
    const tookMs = Math.round(clock.now() - startedAt);
    // A slow commit delays everything that waits for an acknowledgement.
    if (tookMs >= SLOW_COMMIT_MS || !isCommitted) {
      logger.info('commands were committed late', { count: commands.length, tookMs, isCommitted });
    }
    return isCommitted;
  }

  public override dispose(): void {
    super.dispose();
    this.timer?.dispose();
    [...this.submissions.values()].forEach((submission) =>
      this.settle(submission, submission.sentTo === undefined ? 'notSent' : 'pending'),
    );
  }

  private submissionOf(command: CommandInit): Submission {
    const key = commandKey(command);
    const known = this.submissions.get(key);
    if (known !== undefined) return known;
    const submission: Submission = {
      key,
      command,
      data: this.ctx.encode(command),
      settle: new Emitter<SubmitOutcome>(),
      waiters: 0,
      pursueUntil: 0,
      sentAt: -Infinity,
      sentTo: undefined,
    };
    this.submissions.set(key, submission);
    return submission;
  }

  /** Outcome for a caller whose time is over. A command that no leader has got is dropped with its last caller. */
  private giveUp(submission: Submission): SubmitOutcome {
    if (submission.sentTo !== undefined) return 'pending';
    if (submission.waiters === 1) this.submissions.delete(submission.key);
    return 'notSent';
  }

  private settle(submission: Submission, outcome: SubmitOutcome): void {
    this.submissions.delete(submission.key);
    submission.settle.fire(outcome);
  }

  private settleCommitted(): void {
    [...this.submissions.values()]
      .filter(({ command }) => this.ctx.stateMachine.isInEffect(command))
      .forEach((submission) => this.settle(submission, 'committed'));
  }

  private check(): void {
    const { clock, log } = this.ctx;
    this.timer?.dispose();
    this.settleCommitted();
    const now = clock.now();
    [...this.submissions.values()]
      .filter(({ waiters, pursueUntil }) => waiters === 0 && now >= pursueUntil)
      .forEach((submission) => this.settle(submission, 'pending'));
    if (this.isDisposed || this.submissions.size === 0) return;
    this.timer = clock.setTimeout(() => this.check(), CHECK_MS);
    const { leader } = log.status();
    if (leader === undefined) return;
    if (this.called.vm !== leader.vm) this.called = { vm: leader.vm, at: -Infinity, open: 0 };
    const due = [...this.submissions.values()].filter(
      ({ sentTo, sentAt, data }) =>
        sentTo !== leader.vm || now - sentAt >= RESEND_MS + transferMs(data.length),
    );
    const isReady = this.called.open < MAX_CALLS || now - this.called.at >= NEXT_CALL_MS;
    if (due.length > 0 && isReady) this.send(leader, due);
  }

  private send(leader: Member, due: readonly Submission[]): void {
    const { clock, log, logger } = this.ctx;
    const { called } = this;
    const sentAt = clock.now();
    const count = due.length;
    due.forEach((submission) => Object.assign(submission, { sentAt, sentTo: leader.vm }));
    called.at = sentAt;
    called.open += 1;
    const isSelf = leader.vm === log.status().self.vm;
    const call = isSelf ? this.accept(due) : this.forward(leader, due);
    call
      .then((isCommitted) => {
        if (isCommitted) due.forEach((submission) => this.settle(submission, 'committed'));
        else this.retrySoon(due);
      })
      .catch((err: unknown) => {
        const tookMs = Math.round(clock.now() - sentAt);
        const error = String(err);
        logger.info('commands were not forwarded', { leader: leader.vm, count, tookMs, error });
        if (err instanceof ConnectError && err.code === Code.Unimplemented) {
          due.forEach((submission) => this.settle(submission, 'unsupported'));
        } else this.retrySoon(due);
      })
      .finally(() => {
        called.open -= 1;
      });
  }

  private retrySoon(sent: readonly Submission[]): void {
    const retryAt = this.ctx.clock.now() + RETRY_MS;
    sent.forEach((submission) => {
      const sentAt = retryAt - RESEND_MS - transferMs(submission.data.length);
      Object.assign(submission, { sentAt });
    });
  }

  private async forward(leader: Member, due: readonly Submission[]): Promise<boolean> {
    const commands = due.map(({ key, data }) => ({ key, data }));
    const bytes = due.reduce((sum, { data }) => sum + data.length, 0);
    const options = { timeoutMs: CALL_TIMEOUT_MS + transferMs(bytes) };
    const res = await this.ctx.clientOf(leader.address).submit({ commands }, options);
    return res.isCommitted;
  }

  /** The same command from several members is appended once. */
  private propose({ key, data }: ForwardedCommand): Promise<boolean> {
    const known = this.proposals.get(key);
    if (known !== undefined) return known;
    const version = readPlanVersion(data);
    const heldVersion = this.ctx.stateMachine.current?.plan.version;
    const isSuperseded = version !== undefined && !isNewerVersion(version, heldVersion);
    if (isSuperseded) return Promise.resolve(true);
    const proposal = this.ctx.log
      .propose(data)
      .then(({ kind }) => kind === 'committed')
      .finally(() => this.proposals.delete(key));
    this.proposals.set(key, proposal);
    return proposal;
  }
}
