/** Confirmations on their way from the leader to a hub, in virtual time: two log processes and the hub of the second. */
import { describe, it } from 'node:test';
import { create } from '@bufbuild/protobuf';
import type { Clock } from '@marigoldbank/base/clock';
import { VirtualClock } from '@marigoldbank/base/virtual-clock';
import { NullLogger } from '@marigoldbank/daemon/telemetry/NullLogger';
import {
  ConfirmResponseSchema,
  WatchRequestSchema,
  WatchResponseSchema,
  type ConfirmResponse,
} from '@marigoldbank/protocol/gen/marigoldbank/v1/log_pb';
import type { LogStatus, Member, ReadOutcome } from '@marigoldbank/replicated-log';
import { expect } from 'earl';
import { MAX_CONFIRMED_AGE_MS } from '../sync/confirmation.js';
import { SuspendableClock } from '../testing/SuspendableClock.js';
import { LogFeed } from './LogFeed.js';
import { LogFollower } from './LogFollower.js';
import { PlanStateMachine } from './PlanStateMachine.js';
import { StateConfirmation, type ConfirmationContext } from './StateConfirmation.js';

/** Delay of a message between two VMs in different data centres. */
const LINK_MS = 10;

const HEARTBEAT_MS = 150;

/** Interval at which a hub sends its status to its entries. */
const STATUS_MS = 400;

const STEP_MS = 5;

class TestLog {
  public constructor(
    private readonly self: Member,
    private readonly leader: Member,
    private readonly clock: Clock,
    private readonly onConfirmed: (askedAt: number) => void = () => undefined,
    private readonly realClock: Clock = clock,
  ) {}

  public status(): LogStatus {
    const { self, leader } = this;
    const role = self === leader ? 'leader' : 'follower';
    const membership = { voters: [self, leader], learners: [] };
    return { self, role, term: 1, commitIndex: 1, lastIndex: 1, leader, membership, progress: [] };
  }

  /** The answers to the next heartbeat confirm the read; at worst the last one has just been sent. */
  public confirmReadByHeartbeat(): Promise<ReadOutcome> {
    const askedAt = this.realClock.now();
    return new Promise((resolve) => {
      this.clock.setTimeout(
        () => {
          this.onConfirmed(askedAt);
          resolve({ kind: 'confirmed', index: 1 });
        },
        HEARTBEAT_MS + 2 * LINK_MS,
      );
    });
  }
}

interface Fixture {
  readonly clock: VirtualClock;
  readonly leaderClock: SuspendableClock;
  readonly confirmation: StateConfirmation;
  readonly hubLog: LogFollower;
  /** Real time at which the leader asked the voters that have confirmed its leadership last. */
  readonly confirmedAt: () => number;
  /** Drops the next question of the follower. */
  readonly dropQuestion: () => void;
}

/** A log whose earlier messages confirm nothing, so that only answers to questions count. */
function withoutOwnConfirmation(log: TestLog): ConfirmationContext['log'] {
  return {
    status: () => log.status(),
    confirmedState: () => undefined,
    confirmReadByHeartbeat: () => log.confirmReadByHeartbeat(),
  };
}

function makeMember(vm: string): Member {
  return { vm, incarnation: '', address: `${vm}:1` };
}

/** The intervals of the follower start `phaseMs` after those of the leader. */
function makeVms(phaseMs = 0): Fixture {
  const clock = new VirtualClock();
  const leaderClock = new SuspendableClock(clock);
  const logger = new NullLogger();
  const [leader, follower] = [makeMember('leader'), makeMember('follower')];
  let confirmedAt = -Infinity;
  let dropped = 0;
  const noteConfirmed = (askedAt: number): void => {
    confirmedAt = askedAt;
  };
  const leaderLog = new TestLog(leader, leader, leaderClock, noteConfirmed, clock);
  const leading = new StateConfirmation({
    clock: leaderClock,
    log: withoutOwnConfirmation(leaderLog),
    logger,
    datagrams: { confirmLeadership: () => Promise.reject(new Error('not asked')) },
    clientOf: () => ({ confirm: () => Promise.reject(new Error('not asked')) }),
  });
  clock.advance(phaseMs);
  const followerLog = new TestLog(follower, leader, clock);
  const ask = (timeoutMs: number): Promise<ConfirmResponse> =>
    new Promise((resolve, reject) => {
      const isDropped = dropped > 0;
      dropped = 0;
      clock.setTimeout(() => reject(new Error('timeout')), timeoutMs);
      clock.setTimeout(() => {
        if (isDropped || leaderClock.isSuspended) return;
        leading
          .confirmLeadership()
          .then((index) => {
            const res = create(ConfirmResponseSchema, { isLeader: true, index: BigInt(index!) });
            clock.setTimeout(() => resolve(res), LINK_MS);
          })
          .catch(reject);
      }, LINK_MS);
    });
  const confirmation = new StateConfirmation({
    clock,
    log: withoutOwnConfirmation(followerLog),
    logger,
    datagrams: {
      confirmLeadership: (_, timeoutMs) => ask(timeoutMs).catch(() => undefined),
    },
    clientOf: () => ({ confirm: (_, options) => ask(options?.timeoutMs ?? Infinity) }),
  });
  const stateMachine = new PlanStateMachine();
  const feed = new LogFeed({ clock, log: followerLog, stateMachine, confirmation, lifetime: 'a' });
  const hubLog = new LogFollower({
    hubs: () => [],
    clock,
    logger,
    stateMachine: new PlanStateMachine(),
    client: {
      watch: async (init) =>
        create(WatchResponseSchema, await feed.watch(create(WatchRequestSchema, init))),
    },
  });
  hubLog.run().catch(() => undefined);
  const dropQuestion = (): void => {
    dropped = 1;
  };
  return { clock, leaderClock, confirmation, hubLog, confirmedAt: () => confirmedAt, dropQuestion };
}

/** Oldest confirmation of the hub within a time. */
async function oldestAgeMs({ clock, hubLog }: Fixture, durationMs: number): Promise<number> {
  const ages: number[] = [];
  for (let i = 0; i < durationMs / STEP_MS; i += 1) {
    await clock.advanceAsync(STEP_MS);
    ages.push(clock.now() - hubLog.confirmedAt);
  }
  return Math.max(...ages);
}

/** Shorter than an election timeout, so that the follower still asks the same leader. */
const SUSPENSIONS_MS = Array.from({ length: 40 }, (_, i) => 500 + 10 * i);

const PHASES_MS = Array.from({ length: 10 }, (_, i) => 20 * i);

describe('confirmations of a follower', () => {
  // Each of the leader, the follower and the hub waited for its own interval, so that a confirmation was as old as the sum.
  it('are recent enough for entries that miss one status of its hub', async () => {
    const oldest: number[] = [];
    for (let i = 0; i < PHASES_MS.length; i += 1) {
      const vms = makeVms(PHASES_MS[i]);
      await vms.clock.advanceAsync(1_000);
      oldest.push(await oldestAgeMs(vms, 5_000));
    }
    expect(Math.max(...oldest)).toBeLessThan(MAX_CONFIRMED_AGE_MS - 2 * STATUS_MS);
  });

  it('are recent enough for entries if one question is lost', async () => {
    const oldest: number[] = [];
    for (let i = 0; i < PHASES_MS.length; i += 1) {
      const vms = makeVms(PHASES_MS[i]);
      await vms.clock.advanceAsync(1_000);
      vms.dropQuestion();
      oldest.push(await oldestAgeMs(vms, 2_000));
    }
    expect(Math.max(...oldest)).toBeLessThan(MAX_CONFIRMED_AGE_MS - STATUS_MS);
  });

  // The leader told the age of what it had confirmed before it was suspended by a clock that had stood still.
  it('are not younger than they are if the leader was suspended', async () => {
    const errors: number[] = [];
    for (let i = 0; i < SUSPENSIONS_MS.length; i += 1) {
      const { clock, leaderClock, confirmation, confirmedAt } = makeVms();
      await clock.advanceAsync(1_000);
      leaderClock.suspend(SUSPENSIONS_MS[i]!);
      for (let step = 0; step < 300; step += 1) {
        await clock.advanceAsync(STEP_MS);
        errors.push(clock.now() - confirmedAt() - confirmation.confirmedAgeMs());
      }
    }
    expect(Math.max(...errors)).toBeLessThan(1);
  });
});
