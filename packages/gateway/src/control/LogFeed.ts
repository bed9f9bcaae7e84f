/** Serves the state of the replicated log of this VM to the hub of the VM, which runs in another process. */
import type { MessageInitShape } from '@bufbuild/protobuf';
import type { Clock } from '@marigoldbank/base/clock';
import { DisposableStore, type IDisposable } from '@marigoldbank/base/lifecycle';
import type {
  WatchRequest,
  WatchResponseSchema,
} from '@marigoldbank/protocol/gen/marigoldbank/v1/log_pb';
import type { IReplicatedLog } from '@marigoldbank/replicated-log';
import type { Announcement } from '../announcement.js';
import { Batcher } from '../sync/Batcher.js';
import { AnnouncementFeed } from './AnnouncementFeed.js';
import type { AppliedCommand, PlanStateMachine } from './PlanStateMachine.js';
import type { StateConfirmation } from './StateConfirmation.js';

/** Longest time for which a request waits, so that the ages that the hub knows stay small. */
const MAX_WAIT_MS = 1_000;

/** Commands are kept up to this size; a hub that has missed more gets a snapshot. */
const MAX_COMMAND_BYTES = 4_194_304;

/** Delays of answers after commands or confirmations, and after new or changed targets, of which several share one answer. */
const NEWS_DELAY_MS = 1;
const ANNOUNCEMENT_DELAY_MS = 40;

export type WatchResponseInit = MessageInitShape<typeof WatchResponseSchema>;

export interface LogFeedContext {
  readonly clock: Clock;
  readonly log: Pick<IReplicatedLog, 'status'>;
  readonly stateMachine: PlanStateMachine;
  readonly confirmation: Pick<StateConfirmation, 'confirmedAgeMs' | 'leaderAgeMs' | 'onDidConfirm'>;
  /** Id of this lifetime of the process. */
  readonly lifetime: string;
}

function toAge(ageMs: number): number | undefined {
  return Number.isFinite(ageMs) ? Math.round(ageMs) : undefined;
}

export class LogFeed extends DisposableStore {
  public readonly announcements = new AnnouncementFeed();

  /** Applied commands, in order. All commands after `completeAfter` are among them. */
  private commands: AppliedCommand[] = [];

  private commandBytes = 0;

  /** Infinity after a snapshot was restored, whose index is not known yet. */
  private completeAfter: number;

  private readonly waiting = new Set<() => void>();

  private readonly batcher: Batcher;

  public constructor(private readonly ctx: LogFeedContext) {
    super();
    const { clock, log, stateMachine, confirmation } = ctx;
    this.completeAfter = log.status().commitIndex;
    this.batcher = this.add(new Batcher(clock, () => this.wake()));
    this.add(stateMachine.onDidApply((command) => this.addCommand(command)));
    this.add(stateMachine.onDidRestore(() => this.forgetCommands()));
    this.add(confirmation.onDidConfirm(() => this.batcher.request(NEWS_DELAY_MS)));
    this.add(
      stateMachine.onDidMarkLeaving((id) => {
        const mark = stateMachine.leavingMark(id, this.announcements.bornOf(id));
        if (mark?.isGone) this.announcements.remove(id, mark.born);
      }),
    );
  }

  /** Passes an announcement on to the hub. */
  public announce(announcement: Announcement): void {
    const now = this.ctx.clock.now();
    this.announcements.expire(now);
    // A repetition only says that the target still lives. It goes along with the next answer, which costs as much as several
    // announcements.
    if (this.announcements.add(announcement, now) === 'changed') {
      this.batcher.request(ANNOUNCEMENT_DELAY_MS);
    }
  }

  /** Answers when there is something that the sender does not have yet, or after the time that it names. */
  public async watch(req: WatchRequest): Promise<WatchResponseInit> {
    const { clock } = this.ctx;
    const askedAt = clock.now();
    if (!this.hasNews(req)) await this.waitForNews(Math.min(MAX_WAIT_MS, req.maxWaitMs));
    return this.respond(req, clock.now() - askedAt);
  }

  public override dispose(): void {
    super.dispose();
    this.wake();
  }

  private hasNews({ lifetime, afterIndex, afterAnnouncement }: WatchRequest): boolean {
    const { log } = this.ctx;
    return (
      lifetime !== this.ctx.lifetime ||
      log.status().commitIndex > Number(afterIndex) ||
      this.announcements.changePosition > Number(afterAnnouncement)
    );
  }

  private waitForNews(maxWaitMs: number): Promise<void> {
    return new Promise((resolve) => {
      let timer: IDisposable | undefined;
      const finish = (): void => {
        timer?.dispose();
        this.waiting.delete(finish);
        resolve();
      };
      timer = this.ctx.clock.setTimeout(finish, maxWaitMs);
      this.waiting.add(finish);
    });
  }

  private respond(req: WatchRequest, waitedMs: number): WatchResponseInit {
    const { clock, log, stateMachine, confirmation, lifetime } = this.ctx;
    const { commitIndex, role, leader, self, membership } = log.status();
    if (this.completeAfter === Infinity) this.completeAfter = commitIndex;
    const isSameLifetime = req.lifetime === lifetime;
    const afterIndex = Number(req.afterIndex);
    const isContinued = isSameLifetime && afterIndex >= this.completeAfter;
    const { announcements, position } = this.announcements.since(
      isSameLifetime ? Number(req.afterAnnouncement) : 0,
      clock.now(),
    );
    return {
      lifetime,
      ...(isContinued ? {} : { snapshot: stateMachine.snapshot() }),
      commands: isContinued
        ? this.commands
            .filter(({ index }) => index > afterIndex)
            .map(({ index, data }) => ({ index: BigInt(index), data }))
        : [],
      index: BigInt(commitIndex),
      announcements: [...announcements],
      announcement: BigInt(position),
      isLeader: role === 'leader',
      leader: leader?.vm ?? '',
      self: self.vm,
      voters: membership.voters.map(({ vm }) => vm),
      confirmedAgeMs: toAge(confirmation.confirmedAgeMs()),
      leaderAgeMs: toAge(confirmation.leaderAgeMs()),
      waitedMs: Math.floor(waitedMs),
    };
  }

  private addCommand({ index, data }: AppliedCommand): void {
    if (this.completeAfter === Infinity) this.completeAfter = index - 1;
    this.commands.push({ index, data });
    this.commandBytes += data.length;
    while (this.commandBytes > MAX_COMMAND_BYTES) this.dropOldestCommand();
    this.batcher.request(NEWS_DELAY_MS);
  }

  private dropOldestCommand(): void {
    const { index, data } = this.commands.shift()!;
    this.commandBytes -= data.length;
    this.completeAfter = index;
  }

  private forgetCommands(): void {
    this.commands = [];
    this.commandBytes = 0;
    this.completeAfter = Infinity;
    this.batcher.request(NEWS_DELAY_MS);
  }

  private wake(): void {
    [...this.waiting].forEach((finish) => finish());
  }
}
