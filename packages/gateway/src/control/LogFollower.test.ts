import { describe, it } from 'node:test';
import { create } from '@bufbuild/protobuf';
import { Emitter } from '@marigoldbank/base/events';
import { VirtualClock } from '@marigoldbank/base/virtual-clock';
import { NullLogger } from '@marigoldbank/daemon/telemetry/NullLogger';
import {
  WatchRequestSchema,
  WatchResponseSchema,
  type WatchRequest,
} from '@marigoldbank/protocol/gen/marigoldbank/v1/log_pb';
import type { LogStatus } from '@marigoldbank/replicated-log';
import { expect } from 'earl';
import { makeAnnouncement, makeEmptyPlan } from '../testing/fixtures.js';
import { encodeCommand, type CommandInit } from './commands.js';
import { LogFeed } from './LogFeed.js';
import { LogFollower, type LogFollowerContext } from './LogFollower.js';
import { PlanStateMachine } from './PlanStateMachine.js';

const SELF = { vm: '10.0.0.1', incarnation: 'a', address: '10.0.0.1:7600' };

/** Longest time for which the log process keeps a request. */
const LONGEST_WAIT_MS = 300;

/** Commands above this size in total are not kept. */
const KEPT_BYTES = 4_194_304;

/** One lifetime of a log process. */
interface LogProcess {
  readonly feed: LogFeed;
  readonly stateMachine: PlanStateMachine;
  readonly status: { -readonly [K in keyof LogStatus]: LogStatus[K] };
  readonly commit: (command: CommandInit) => void;
}

interface Fixture {
  readonly clock: VirtualClock;
  readonly follower: LogFollower;
  readonly stateMachine: PlanStateMachine;
  /** Versions of the plan that the hub had, in order. */
  readonly versions: number[];
  /** Targets of which the hub was told, in order. */
  readonly announced: string[];
  /** Requests that the hub has sent. */
  requests: number;
  process: LogProcess;
  /** Time that an answer takes in addition; requests of a stopped process are never answered. */
  delayMs: number;
  readonly ages: { readonly confirmedAgeMs: number; readonly leaderAgeMs: number };
}

function putPlan(version: number, document = ''): CommandInit {
  return { kind: 'putPlan', document, plan: makeEmptyPlan(version) };
}

function startProcess(fixture: Pick<Fixture, 'clock' | 'ages'>, lifetime: string): LogProcess {
  const { clock } = fixture;
  const stateMachine = new PlanStateMachine();
  const status: LogProcess['status'] = {
    self: SELF,
    role: 'leader',
    term: 1,
    commitIndex: 0,
    lastIndex: 0,
    leader: SELF,
    membership: { voters: [SELF], learners: [] },
    progress: [],
  };
  const confirmation = {
    confirmedAgeMs: () => fixture.ages.confirmedAgeMs,
    leaderAgeMs: () => fixture.ages.leaderAgeMs,
    onDidConfirm: new Emitter<void>().event,
  };
  const log = { status: () => status };
  const feed = new LogFeed({ clock, log, stateMachine, confirmation, lifetime });
  const commit = (command: CommandInit): void => {
    status.commitIndex += 1;
    stateMachine.apply(status.commitIndex, encodeCommand(command));
  };
  return { feed, stateMachine, status, commit };
}

function makeFixture(ages: Fixture['ages'] = { confirmedAgeMs: 0, leaderAgeMs: 0 }): Fixture {
  const clock = new VirtualClock();
  const fixture: Partial<Fixture> = {
    clock,
    delayMs: 1,
    ages,
    stateMachine: new PlanStateMachine(),
    versions: [],
    announced: [],
    requests: 0,
  };
  const { stateMachine } = fixture as Fixture;
  fixture.process = startProcess(fixture as Fixture, 'first');
  const watch: LogFollowerContext['client']['watch'] = async (req) => {
    const { feed } = fixture.process!;
    fixture.requests! += 1;
    const res = await feed.watch(create(WatchRequestSchema, req));
    await new Promise<void>((resolve, reject) => {
      const isTimedOut = fixture.delayMs! > 1_000;
      clock.setTimeout(
        () => (isTimedOut ? reject(new Error('timed out')) : resolve()),
        Math.min(1_000, fixture.delayMs!),
      );
    });
    return create(WatchResponseSchema, res);
  };
  stateMachine.onDidChangePlan(({ plan }) => fixture.versions!.push(plan.version));
  const follower = new LogFollower({
    hubs: () => [],
    clock,
    logger: new NullLogger(),
    stateMachine,
    client: { watch },
  });
  follower.onDidAnnounce(({ announcement }) => fixture.announced!.push(announcement.id));
  follower.run().catch(() => undefined);
  return Object.assign(fixture, { follower }) as Fixture;
}

const ANNOUNCE_INTERVAL_MS = 1_500;

/** Lets targets announce themselves to the log process again and again, evenly over the interval. */
async function announceInTurn(fixture: Fixture, targets: number, rounds: number): Promise<void> {
  const { clock, process } = fixture;
  const firstSeq = Math.ceil(clock.now()) + 1;
  for (let i = 0; i < targets * rounds; i += 1) {
    const id = i % targets;
    const address = `10.1.0.1:${id + 1}`;
    process.feed.announce(makeAnnouncement({ id: `t-${id}`, address, seq: firstSeq + i }));
    await clock.advanceAsync(ANNOUNCE_INTERVAL_MS / targets);
  }
}

const ANSWER_MS = 100;

const COMMAND = encodeCommand({ kind: 'putPlan', document: 'two', plan: makeEmptyPlan(2) });

interface SlowLog {
  readonly clock: VirtualClock;
  readonly stateMachine: PlanStateMachine;
  readonly follower: LogFollower;
  readonly requests: WatchRequest[];
}

/** A follower of a log with one command, which is confirmed. */
function followSlowLog(): SlowLog {
  const clock = new VirtualClock();
  const stateMachine = new PlanStateMachine();
  const requests: WatchRequest[] = [];
  const follower = new LogFollower({
    hubs: () => [],
    clock,
    logger: new NullLogger(),
    stateMachine,
    client: {
      watch: (init) =>
        new Promise((resolve) => {
          const req = create(WatchRequestSchema, init);
          requests.push(req);
          const commands = req.afterIndex < 1n ? [{ index: 1n, data: COMMAND }] : [];
          const state = { lifetime: 'a', index: 1n, confirmedAgeMs: 0, leaderAgeMs: 0 };
          const res = create(WatchResponseSchema, { ...state, commands });
          clock.setTimeout(() => resolve(res), ANSWER_MS);
        }),
    },
  });
  return { clock, stateMachine, follower, requests };
}

describe('LogFollower', () => {
  it('applies all commands in order, soon after they are committed', async () => {
    const { clock, process, versions, stateMachine } = makeFixture();
    await clock.advanceAsync(100);
    for (let version = 1; version <= 20; version += 1) {
      process.commit(putPlan(version));
      await clock.advanceAsync(version % 3);
    }
    await clock.advanceAsync(10);
    expect(versions).toEqual(Array.from({ length: 20 }, (_, i) => i + 1));
    expect(stateMachine.appliedIndex).toEqual(20);
  });

  // A hub that goes back would give entries an older plan than they had.
  it('never goes back when the log process restarts with an older state', async () => {
    const fixture = makeFixture();
    fixture.process.commit(putPlan(1));
    fixture.process.commit(putPlan(2));
    fixture.process.commit({ kind: 'markLeaving', id: 'i-1', born: 5, isGone: true, at: 1 });
    await fixture.clock.advanceAsync(100);
    const restarted = startProcess(fixture, 'second');
    restarted.commit(putPlan(1));
    fixture.process = restarted;
    await fixture.clock.advanceAsync(300);
    expect(fixture.stateMachine.current?.plan.version).toEqual(2);
    expect(fixture.stateMachine.leavingMark('i-1', 5)?.isGone).toEqual(true);
    fixture.process.commit(putPlan(2));
    fixture.process.commit({ kind: 'markLeaving', id: 'i-1', born: 5, isGone: false, at: 1 });
    await fixture.clock.advanceAsync(100);
    expect(fixture.stateMachine.leavingMark('i-1', 5)?.isGone).toEqual(true);
    fixture.process.commit(putPlan(3));
    await fixture.clock.advanceAsync(100);
    expect(fixture.versions).toEqual([1, 2, 3]);
  });

  // A target that was only draining in the older state has left since.
  it('keeps that a target has left when it restores an older snapshot', async () => {
    const fixture = makeFixture();
    fixture.process.commit({ kind: 'markLeaving', id: 'i-1', born: 5, isGone: false, at: 1 });
    fixture.process.commit({ kind: 'markLeaving', id: 'i-1', born: 5, isGone: true, at: 2 });
    await fixture.clock.advanceAsync(100);
    const restarted = startProcess(fixture, 'second');
    restarted.commit({ kind: 'markLeaving', id: 'i-1', born: 5, isGone: false, at: 1 });
    fixture.process = restarted;
    await fixture.clock.advanceAsync(300);
    expect(fixture.stateMachine.leavingMark('i-1', 5)?.isGone).toEqual(true);
  });

  it('gets a snapshot if it has missed more commands than are kept', async () => {
    const fixture = makeFixture();
    fixture.process.commit(putPlan(1));
    await fixture.clock.advanceAsync(100);
    fixture.delayMs = 5_000;
    await fixture.clock.advanceAsync(1_500);
    fixture.process.commit({ kind: 'markLeaving', id: 'i-1', born: 5, isGone: false, at: 1 });
    const document = 'x'.repeat(KEPT_BYTES / 2);
    [2, 3, 4, 5].forEach((version) => fixture.process.commit(putPlan(version, document)));
    fixture.delayMs = 1;
    await fixture.clock.advanceAsync(2_000);
    expect(fixture.versions.at(-1)).toEqual(5);
    expect(fixture.stateMachine.leavingMark('i-1', 5)).not.toEqual(undefined);
  });

  // Guards against log processes that stay saturated after a restart: each announcement that only said that a target still
  // lives was passed on within 40 ms, which cost log process and hub more than the announcements themselves.
  [60, 120].forEach((targets) => {
    it(`does not ask more often since ${targets} targets repeat their announcements`, async () => {
      const fixture = makeFixture();
      await announceInTurn(fixture, targets, 1);
      const { requests } = fixture;
      const announced = fixture.announced.length;
      await announceInTurn(fixture, targets, 2);
      const mostRequests = Math.ceil((2 * ANNOUNCE_INTERVAL_MS) / LONGEST_WAIT_MS) + 1;
      expect(fixture.requests - requests).toBeLessThanOrEqual(mostRequests);
      expect(fixture.announced.length - announced).toBeGreaterThanOrEqual(targets);
    });
  });

  it('learns of a new target within 50 ms', async () => {
    const fixture = makeFixture();
    await announceInTurn(fixture, 60, 2);
    fixture.process.feed.announce(makeAnnouncement({ id: 'new', address: '10.1.0.2:1' }));
    await fixture.clock.advanceAsync(50);
    expect(fixture.announced.includes('new')).toEqual(true);
  });

  // A hub that takes itself for the leader grants tokens of team budgets.
  it('is no leader any more one second after the last answer of the log process', async () => {
    const fixture = makeFixture();
    await fixture.clock.advanceAsync(500);
    expect(fixture.follower.isLeader).toEqual(true);
    fixture.delayMs = 5_000;
    await fixture.clock.advanceAsync(1_200);
    expect(fixture.follower.isLeader).toEqual(false);
    fixture.delayMs = 1;
    await fixture.clock.advanceAsync(1_500);
    expect(fixture.follower.isLeader).toEqual(true);
  });

  it('counts ages from when the answer was true, not from its arrival', async () => {
    const fixture = makeFixture({ confirmedAgeMs: 100, leaderAgeMs: 40 });
    fixture.delayMs = 400;
    const { clock, follower } = fixture;
    const ages: number[] = [];
    for (let i = 0; i < 200; i += 1) {
      await clock.advanceAsync(10);
      ages.push(clock.now() - follower.confirmedAt);
    }
    expect(Math.min(...ages)).toBeGreaterThanOrEqual(500);
    expect(ages.at(-1)!).toBeLessThan(500 + 400 + LONGEST_WAIT_MS + 10);
  });

  it('does not count a confirmation before it has the state', async () => {
    const fixture = makeFixture({ confirmedAgeMs: Infinity, leaderAgeMs: 10 });
    await fixture.clock.advanceAsync(500);
    expect(fixture.follower.confirmedAt).toEqual(-Infinity);
    expect(fixture.clock.now() - fixture.follower.leaderSeenAt).toBeLessThan(300);
  });
});

describe('a follower of a slow log', () => {
  it('does not count as leader once the log process has not answered for a second', async () => {
    const { clock, follower } = followSlowLog();
    const running = follower.run();
    await clock.advanceAsync(500);
    expect(follower.confirmedAt).toBeGreaterThan(0);
    follower.dispose();
    await clock.advanceAsync(5_000);
    await running;
    expect(follower.isLeader).toEqual(false);
  });

  // The position was advanced before the commands were applied, so that a hub which failed to apply one was confirmed
  // without it for good.
  it('asks again for commands that it has failed to apply, and is not confirmed without them', async () => {
    const { clock, stateMachine, follower, requests } = followSlowLog();
    let failures = 1;
    stateMachine.onDidChangePlan(() => {
      failures -= 1;
      if (failures >= 0) throw new Error('a listener failed');
    });
    const running = follower.run();
    await clock.advanceAsync(ANSWER_MS + 10);
    expect(follower.confirmedAt).toEqual(-Infinity);
    await clock.advanceAsync(5_000);
    follower.dispose();
    await clock.advanceAsync(1_000);
    await running;
    expect(requests.slice(0, 2).map(({ afterIndex }) => afterIndex)).toEqual([0n, 0n]);
  });
});
