import { describe, it } from 'node:test';
import { create, type MessageInitShape } from '@bufbuild/protobuf';
import { delay } from '@marigoldbank/base/clock';
import { Random } from '@marigoldbank/base/random';
import { VirtualClock } from '@marigoldbank/base/virtual-clock';
import { NullLogger } from '@marigoldbank/daemon/telemetry/NullLogger';
import {
  CommittedStateSchema,
  type CommittedState,
  type LogMemberSchema,
} from '@marigoldbank/protocol/gen/marigoldbank/v1/log_pb';
import { PlanUpdateSchema } from '@marigoldbank/protocol/gen/marigoldbank/v1/sync_pb';
import { encodePlanChanges, toPlanItems } from '@marigoldbank/routing/plan-items';
import { expect } from 'earl';
import { makeEmptyPlan } from '../testing/fixtures.js';
import { EntryState } from './EntryState.js';
import type { IPlanClient } from './PlanClient.js';
import { PlanRefresher } from './PlanRefresher.js';

const BOUNDS = { ratio: 0.2, slack: 60, windowMs: 10_000 };

/** Time after its acknowledgement from which requests have to be handled by a change. */
const CONFIG_APPLY_MS = 2_000;

/** Time after which another control VM is asked for a plan that is being fetched. */
const FETCH_SHARE_MS = 400;

const STATUS = {
  confirmedAgeMs: 100,
  budgetAgeMs: 0,
  entries: 1,
  isLeaderless: false,
  isCutOff: false,
  isStarting: false,
};

const CHANGES = encodePlanChanges([]);

interface FakeVm {
  readonly version: number;
  /** Plan in its log, which it tells instead of a confirmation. */
  readonly stored?: number;
  /** Whether calls to it never end. */
  readonly isFetchSilent?: boolean;
  readonly confirmedAgeMs?: number;
  /** Whether the changes fit into a datagram. */
  readonly hasChanges?: boolean;
}

interface Fixture {
  readonly clock: VirtualClock;
  readonly state: EntryState;
  readonly start: () => PlanRefresher;
  /** Addresses that were asked, in order. */
  readonly asked: string[];
  /** Addresses from which the plan was fetched, in order. */
  readonly fetched: string[];
}

interface Delays {
  readonly askMs?: number;
  readonly fetchMs?: number;
  /** Number of questions that are not answered. */
  readonly unanswered?: number;
  /** Control VMs that do not answer. */
  readonly silent?: readonly string[];
}

/** What a log process without a leader answers. */
function makeStoredAnswer(
  address: string,
  version: number,
  voters: readonly string[],
): CommittedState {
  const toMember = (voter: string): MessageInitShape<typeof LogMemberSchema> => ({
    address: voter,
    incarnation: 'a',
  });
  return create(CommittedStateSchema, {
    version: 1n,
    stored: {
      member: toMember(address),
      lastTerm: 1n,
      lastIndex: BigInt(version),
      voters: voters.map(toMember),
      version: BigInt(version),
      changes: CHANGES,
    },
  });
}

/** An entry with plan 1, whose hub confirmed it at the time 0 and never again. */
function makeFixture(
  vms: Record<string, FakeVm>,
  { askMs = 2, fetchMs = 2, unanswered = 0, silent = [] }: Delays = {},
): Fixture {
  const clock = new VirtualClock();
  const state = new EntryState(BOUNDS, new Random(1), () => clock.now());
  const asked: string[] = [];
  const fetched: string[] = [];
  const client: IPlanClient = {
    ask: async (address, { planVersion }, timeoutMs) => {
      asked.push(address);
      const vm = vms[address]!;
      const isRunning = asked.length > unanswered && !silent.includes(address);
      const isAnswered = isRunning && askMs <= timeoutMs;
      await delay(clock, isAnswered ? askMs : timeoutMs);
      if (!isAnswered) return undefined;
      if (vm.stored !== undefined) {
        const answer = makeStoredAnswer(address, vm.stored, Object.keys(vms));
        return {
          ...answer,
          stored: { ...answer.stored!, ...(vm.hasChanges === false ? { changes: undefined } : {}) },
        };
      }
      const isNewer = vm.version > planVersion;
      return create(CommittedStateSchema, {
        version: BigInt(vm.version),
        confirmedAgeMs: vm.confirmedAgeMs ?? 100,
        ...(isNewer && vm.hasChanges === true ? { changes: CHANGES } : {}),
        isPlanLeftOut: isNewer && vm.hasChanges !== true,
      });
    },
    fetchPlan: async (address, _held, _isStored, timeoutMs) => {
      fetched.push(address);
      const { version: committed, stored, isFetchSilent = false } = vms[address]!;
      const version = stored ?? committed;
      const tookMs = isFetchSilent ? Infinity : fetchMs;
      await delay(clock, Math.min(tookMs, timeoutMs));
      if (tookMs > timeoutMs) throw new Error('timed out');
      const items = [...toPlanItems(makeEmptyPlan(version))];
      const changes = encodePlanChanges(items.map(([key, value]) => ({ key, value })));
      return create(PlanUpdateSchema, { version: BigInt(version), changes });
    },
  };
  const plan = [...toPlanItems(makeEmptyPlan(1))].map(([key, value]) => ({ key, value }));
  state.applyPlan(undefined, 1, plan);
  state.confirmPlan(0, 0);
  const logger = new NullLogger();
  const addresses = (): string[] => Object.keys(vms);
  const start = (): PlanRefresher => new PlanRefresher({ clock, state, logger, client, addresses });
  return { clock, state, start, asked, fetched };
}

describe('PlanRefresher', () => {
  // An entry of a hub that was cut off without knowing it served by the plan before for 5 s.
  it('has a change in force 2 s after its commit without the hub, if each part takes its whole share', async () => {
    const vms = Object.fromEntries(
      ['a', 'b', 'c', 'd', 'e', 'f', 'g'].map((address) => [address, { version: 2 }]),
    );
    const { clock, state, start, asked } = makeFixture(vms, {
      askMs: 100,
      fetchMs: 400,
      unanswered: 4,
    });
    start();
    // Committed right after the last confirmation.
    await clock.advanceAsync(CONFIG_APPLY_MS);
    expect(state.planVersion).toEqual(2);
    expect(new Set(asked).size).toEqual(6);
  });

  // The call was given up and made again at another control VM, which was as busy: 130 calls did, and an entry had a plan late.
  it('takes a plan from a call that takes longer than its share', async () => {
    const { clock, state, start } = makeFixture({ x: { version: 2 } }, { fetchMs: 1_200 });
    start();
    await clock.advanceAsync(1_100 + 1_200 + 50);
    expect(state.planVersion).toEqual(2);
  });

  it('fetches from another control VM if the call takes longer than its share, and from no third one', async () => {
    const vms = Object.fromEntries(
      ['a', 'b', 'c', 'd'].map((address) => [address, { version: 2 }]),
    );
    const { clock, start, fetched } = makeFixture(vms, { fetchMs: 2_900 });
    start();
    await clock.advanceAsync(1_100 + FETCH_SHARE_MS);
    expect(fetched.length).toEqual(1);
    await clock.advanceAsync(900);
    expect([fetched.length, new Set(fetched).size]).toEqual([2, 2]);
    await clock.advanceAsync(1_000);
    expect(fetched.length).toEqual(2);
  });

  // An entry served by its plan although control VMs had told it 1.5 s before that a newer one was committed.
  it('serves no request by a plan that is replaced if the newer one does not come in 2 s', async () => {
    const { clock, state, start } = makeFixture({ x: { version: 2 } }, { fetchMs: 60_000 });
    start();
    await clock.advanceAsync(1_700);
    expect(state.mayHandleOtherwise('shop.example', '/', undefined)).toEqual(false);
    await clock.advanceAsync(300);
    expect(state.mayHandleOtherwise('shop.example', '/', undefined)).toEqual(true);
  });

  it('does the same if the hub has named a newer plan that does not come', async () => {
    const { clock, state, start } = makeFixture({ x: { version: 1 } }, { unanswered: Infinity });
    start();
    await clock.advanceAsync(500);
    state.setStatus({ ...STATUS, planVersion: 2, trueAt: clock.now() }, clock.now());
    await clock.advanceAsync(1_200);
    expect(state.mayHandleOtherwise('shop.example', '/', undefined)).toEqual(false);
    await clock.advanceAsync(300);
    expect(state.mayHandleOtherwise('shop.example', '/', undefined)).toEqual(true);
  });

  // Log processes that have just started take longer. Their answers were thrown away, and the entry asked them again and again.
  it('asks others if an answer takes longer than its share, and counts it when it comes', async () => {
    const vms = Object.fromEntries(
      ['a', 'b', 'c', 'd'].map((address) => [address, { version: 2, hasChanges: true }]),
    );
    const { clock, state, start, asked } = makeFixture(vms, { askMs: 350 });
    start();
    await clock.advanceAsync(1_320);
    expect(new Set(asked).size).toEqual(4);
    expect(state.planVersion).toEqual(1);
    await clock.advanceAsync(140);
    expect(state.planVersion).toEqual(2);
    // Dated by the question.
    expect(state.planAgeMs(clock.now())).toBeGreaterThan(350);
  });

  // Beyond a second they were thrown away, so that an entry learnt nothing for as long as all control VMs were that slow.
  it('counts an answer that takes up to 3 s', async () => {
    const { clock, state, start } = makeFixture(
      { x: { version: 2, hasChanges: true } },
      { askMs: 2_900 },
    );
    start();
    await clock.advanceAsync(1_100 + 2_950);
    expect(state.planVersion).toEqual(2);
    expect(state.planAgeMs(clock.now())).toBeGreaterThan(2_900);
  });

  it('takes changes from a datagram', async () => {
    const { clock, state, start } = makeFixture({
      x: { version: 2, hasChanges: true },
      y: { version: 2, hasChanges: true },
    });
    start();
    await clock.advanceAsync(1_150);
    expect(state.planVersion).toEqual(2);
    expect(state.planAgeMs(clock.now())).toBeLessThan(300);
  });

  // Changes from plan 1 to 3 were applied to plan 2, which another answer had put in force while this one was under way.
  it('does not apply changes to another plan than the one for which it asked', async () => {
    const { clock, state, start } = makeFixture(
      { x: { version: 3, hasChanges: true } },
      { askMs: 50 },
    );
    start();
    await clock.advanceAsync(1_120);
    state.applyPlan(1, 2, []);
    await clock.advanceAsync(40);
    expect(state.planVersion).toEqual(2);
    await clock.advanceAsync(1_000);
    expect(state.planVersion).toEqual(3);
  });

  it('asks nothing while the hub confirms the plan', async () => {
    const { clock, state, start, asked } = makeFixture({ x: { version: 2 } });
    start();
    for (let i = 0; i < 20; i += 1) {
      await clock.advanceAsync(400);
      state.confirmPlan(clock.now() - 300, clock.now());
    }
    expect(asked).toEqual([]);
  });

  // A control VM on the smaller side of a split holds an old plan and an old confirmation.
  it('does not take a control VM for current that has no recent confirmation', async () => {
    const { clock, state, start } = makeFixture({ x: { version: 1, confirmedAgeMs: 5_000 } });
    start();
    await clock.advanceAsync(3_000);
    expect(state.planAgeMs(clock.now())).toBeGreaterThan(2_500);
  });

  it('confirms its plan by a control VM that holds the same', async () => {
    const { clock, state, start } = makeFixture({ x: { version: 1 } });
    start();
    await clock.advanceAsync(10_000);
    expect(state.planAgeMs(clock.now())).toBeLessThan(1_300);
  });

  // Questions of all entries together must not keep the log processes busy while there is no leader.
  it('asks at most 20 control VMs a second while none confirms the plan', async () => {
    const vms = Object.fromEntries(
      Array.from({ length: 20 }, (_, i) => [`vm-${i}`, { version: 1, confirmedAgeMs: 60_000 }]),
    );
    const { clock, start, asked } = makeFixture(vms);
    start();
    await clock.advanceAsync(1_000);
    const before = asked.length;
    await clock.advanceAsync(10_000);
    expect(asked.length - before).toBeLessThan(200);
  });

  // The first questions to control VMs that had just got power again came up to 0.9 s later, a third of the time for a plan.
  it('asks four control VMs in any 0.65 s while none answers', async () => {
    const addresses = ['a', 'b', 'c', 'd', 'e', 'f', 'g'];
    const vms = Object.fromEntries(addresses.map((address) => [address, { version: 1 }]));
    const { clock, start, asked } = makeFixture(vms, { unanswered: Infinity });
    start();
    await clock.advanceAsync(1_300);
    const counts: number[] = [];
    for (let i = 0; i < 100; i += 1) {
      const before = asked.length;
      await clock.advanceAsync(650);
      counts.push(new Set(asked.slice(before)).size);
      await clock.advanceAsync(37);
    }
    expect(Math.min(...counts)).toBeGreaterThan(3);
  });

  // An entry that was suspended acted on a confirmation that had run out meanwhile. Its timers fire later than requests that
  // have arrived meanwhile are handled, so the refresher starts only now.
  it('lets a request wait until a plan is confirmed that has not been for 1.8 s', async () => {
    const { clock, state, start } = makeFixture({ x: { version: 2, hasChanges: true } });
    clock.advance(5_000);
    const wait = start().confirm(1_800);
    await clock.advanceAsync(5);
    await wait;
    expect(state.planVersion).toEqual(2);
  });

  it('lets no further request wait while no control VM confirms the plan', async () => {
    const { clock, state, start, asked } = makeFixture(
      { x: { version: 1 } },
      { unanswered: Infinity },
    );
    clock.advance(5_000);
    const refresher = start();
    const first = refresher.confirm(1_800);
    await clock.advanceAsync(200);
    await first;
    const count = asked.length;
    await refresher.confirm(1_800);
    expect([asked.length, state.planVersion]).toEqual([count, 1]);
  });

  const storedVms = (versions: readonly number[]): Record<string, FakeVm> =>
    Object.fromEntries(versions.map((stored, i) => [`vm-${i}`, { version: 1, stored }]));

  // Two of five voters answered, one of them with a newer plan, and the entry went on serving by the plan before.
  it('knows from one log that a newer plan may be in force', async () => {
    const vms = storedVms([2, 1, 1, 1, 1]);
    const { clock, state, start } = makeFixture(vms, { silent: ['vm-1', 'vm-2', 'vm-3', 'vm-4'] });
    start();
    await clock.advanceAsync(2_000);
    expect(state.possiblePlan?.version).toEqual(2);
  });

  // All requests were refused for up to 3 s, since a second call waited for the first one, whose control VM had lost power again.
  it('fetches a plan that may be in force from another control VM if the first call does not end', async () => {
    const vm = { version: 1, stored: 2, hasChanges: false };
    const { clock, state, start, fetched } = makeFixture({
      a: { ...vm, isFetchSilent: true },
      b: { ...vm, isFetchSilent: true },
      c: vm,
      d: vm,
      e: vm,
    });
    start();
    await clock.advanceAsync(3_100);
    expect(fetched.length).toBeGreaterThan(1);
    expect(state.possiblePlan?.table).not.toEqual(undefined);
  });

  it('does not take one log for a newer plan while its plan is confirmed', async () => {
    const { clock, state, start } = makeFixture(storedVms([2, 1, 1, 1, 1]), { askMs: 300 });
    start();
    await clock.advanceAsync(1_200);
    state.confirmPlan(clock.now() - 50, clock.now());
    await clock.advanceAsync(120);
    expect(state.possiblePlan).toEqual(undefined);
  });

  it('asks on while a newer plan may be in force, until that is refuted', async () => {
    const vms: Record<string, FakeVm> = { ...storedVms([2]) };
    const { clock, state, start, asked } = makeFixture(vms);
    start();
    await clock.advanceAsync(1_200);
    expect(state.possiblePlan?.version).toEqual(2);
    // Confirmed as of a time before the question.
    state.confirmPlan(clock.now() - 900, clock.now());
    const before = asked.length;
    vms['vm-0'] = { version: 1, confirmedAgeMs: 0 };
    await clock.advanceAsync(400);
    expect(state.possiblePlan?.version).toEqual(2);
    await clock.advanceAsync(1_100);
    expect(asked.length).toBeGreaterThan(before);
    expect(state.possiblePlan).toEqual(undefined);
  });
});
