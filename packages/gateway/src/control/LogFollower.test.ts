import { describe, it } from 'node:test';
import { create } from '@bufbuild/protobuf';
import { VirtualClock } from '@marigoldbank/base/virtual-clock';
import { NullLogger } from '@marigoldbank/daemon/telemetry/NullLogger';
import {
  WatchRequestSchema,
  WatchResponseSchema,
  type WatchRequest,
} from '@marigoldbank/protocol/gen/marigoldbank/v1/log_pb';
import { expect } from 'earl';
import { makeEmptyPlan } from '../testing/fixtures.js';
import { encodeCommand } from './commands.js';
import { LogFollower } from './LogFollower.js';
import { PlanStateMachine } from './PlanStateMachine.js';

const ANSWER_MS = 100;

const COMMAND = encodeCommand({ kind: 'putPlan', document: 'two', plan: makeEmptyPlan(2) });

interface Fixture {
  readonly clock: VirtualClock;
  readonly stateMachine: PlanStateMachine;
  readonly follower: LogFollower;
  readonly requests: WatchRequest[];
}

/** A follower of a log with one command, which is confirmed. */
function makeFollower(): Fixture {
  const clock = new VirtualClock();
  const stateMachine = new PlanStateMachine();
  const requests: WatchRequest[] = [];
  const follower = new LogFollower({
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
  it('does not count as leader once the log process has not answered for a second', async () => {
    const { clock, follower } = makeFollower();
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
    const { clock, stateMachine, follower, requests } = makeFollower();
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
