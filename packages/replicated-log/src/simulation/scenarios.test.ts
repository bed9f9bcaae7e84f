import { describe, it } from 'node:test';
import { expect } from 'earl';
import { ELECTION_TIMEOUT_MAX_MS, ELECTION_TIMEOUT_MIN_MS } from '../constants.js';
import { NO_FAULTS } from '../FakeNetwork.js';
import { includesMember } from '../quorum.js';
import type { ReplicatedLog } from '../ReplicatedLog.js';
import type { MembershipOutcome } from '../types.js';
import { SimulatedGroup } from './SimulatedGroup.js';
import type { SimulatedVm } from './SimulatedVm.js';

const LIMIT_MS = 20_000;

const NON_MEMBER = { vm: 'vm-9', incarnation: 'vm-9-1', address: 'vm-9:1' };

async function startGroup(seed: number, vms = 3): Promise<SimulatedGroup> {
  const group = new SimulatedGroup({ seed, vms });
  group.startAll();
  await group.runUntil(() => (group.isRepaired ? true : undefined), LIMIT_MS);
  return group;
}

/** Runs the group until the promise settles. */
async function settle<T>(group: SimulatedGroup, promise: Promise<T>): Promise<T | undefined> {
  const results: T[] = [];
  promise.then((value) => results.push(value)).catch(() => {});
  return group.runUntil(() => results[0], LIMIT_MS);
}

function leaderOf(group: SimulatedGroup): { vm: SimulatedVm; log: ReplicatedLog } {
  const vm = group.leader!;
  return { vm, log: vm.running! };
}

function followersOf(group: SimulatedGroup): SimulatedVm[] {
  return group.vms.filter((vm) => vm !== group.leader);
}

async function replaceLost(group: SimulatedGroup): Promise<void> {
  const end = group.clock.now() + LIMIT_MS;
  while (group.clock.now() < end && !group.isRepaired) {
    group.repairStep().catch(() => {});
    await group.run(100);
  }
}

function isolate(group: SimulatedGroup, vm: SimulatedVm): void {
  group.vms.forEach((other) => {
    group.network.block(vm.address, other.address);
    group.network.block(other.address, vm.address);
  });
}

describe('the confirmed state of a leader', () => {
  it('is as new as the last message that a majority answered, and undefined elsewhere', async () => {
    const group = await startGroup(3);
    await group.run(1_000);
    const { log } = leaderOf(group);
    const { index, at } = log.confirmedState()!;
    expect(index).toEqual(log.status().commitIndex);
    expect(group.clock.now() - at).toBeLessThan(ELECTION_TIMEOUT_MIN_MS);
    const others = followersOf(group).map(({ running }) => running!.confirmedState());
    expect(others).toEqual([undefined, undefined]);
  });

  // A leader that is cut off keeps its role for a while, in which another one may commit changes.
  it('does not get newer once the leader is cut off', async () => {
    const group = await startGroup(4);
    const { vm, log } = leaderOf(group);
    const isolatedAt = group.clock.now();
    isolate(group, vm);
    const end = isolatedAt + LIMIT_MS;
    while (group.clock.now() < end) {
      await group.run(20);
      expect(log.confirmedState()?.at ?? isolatedAt).toBeLessThan(isolatedAt + 1);
    }
    expect(log.confirmedState()).toEqual(undefined);
  });
});

describe('a group', () => {
  it('excludes a wiped founder that still has `bootstrap` set until it is added as a learner', async () => {
    const group = await startGroup(1);
    const { log } = leaderOf(group);
    const wiped = followersOf(group)[0]!;
    wiped.wipe();
    wiped.start();
    await group.run(LIMIT_MS);
    const status = wiped.running!.status();
    expect(status.role).toEqual('follower');
    expect(status.membership.voters).toEqual([]);
    expect(wiped.disk.vote.votedFor).toEqual('');
    const { membership } = log.status();
    expect(includesMember(membership.voters, wiped.member)).toEqual(false);
    await replaceLost(group);
    expect(group.isRepaired).toEqual(true);
  });

  it('elects a leader although a founder was lost before another one had completed the bootstrap', async () => {
    const group = new SimulatedGroup({ seed: 9 });
    group.network.setFaults({ ...NO_FAULTS, dropProbability: 0.5 });
    group.startAll();
    const founded = (): SimulatedVm[] => group.vms.filter(({ disk }) => disk.identity.isFounded);
    await group.runUntil(() => founded().length === 2 || undefined, LIMIT_MS);
    expect(founded().length).toEqual(2);
    founded()[0]!.wipe();
    group.network.setFaults(NO_FAULTS);
    group.startAll();
    await replaceLost(group);
    expect(group.isRepaired).toEqual(true);
  });

  it('loses nothing when a second VM is lost right after a replacement', async () => {
    const group = await startGroup(2);
    const writing = Array.from({ length: 100 }, () => group.propose(leaderOf(group).log));
    await settle(group, Promise.all(writing));
    followersOf(group)[0]!.wipe();
    group.startAll();
    await replaceLost(group);
    leaderOf(group).vm.wipe();
    group.startAll();
    await group.runUntil(() => (group.leader ? true : undefined), LIMIT_MS);
    await replaceLost(group);
    await group.run(1_000);
    expect(group.isRepaired).toEqual(true);
    group.vms.forEach(({ stateMachine }) => group.history.checkComplete(stateMachine.commands));
    expect(group.history.violations).toEqual([]);
    expect(group.history.acknowledgedCount).toEqual(100);
  });

  it('has no leader in either half of an even partition, and never two in a term afterwards', async () => {
    const group = await startGroup(3, 4);
    const inside = group.vms.slice(0, 2);
    inside.forEach((a) =>
      group.vms.slice(2).forEach((b) => {
        group.network.block(a.address, b.address);
        group.network.block(b.address, a.address);
      }),
    );
    await group.run(10 * ELECTION_TIMEOUT_MAX_MS);
    expect(group.leader).toEqual(undefined);
    group.heal();
    await group.runUntil(() => group.leader && true, LIMIT_MS);
    expect(group.history.violations).toEqual([]);
  });

  it('elects a leader after a restart of all members within the shortest election timeout in the median', async () => {
    const waits = await Promise.all(
      [1, 2, 3, 4, 5].map(async (seed) => {
        const group = await startGroup(seed);
        group.vms.forEach((vm) => vm.crash());
        await group.run(1_000);
        const startedAt = group.clock.now();
        group.startAll();
        await group.runUntil(() => (group.leader === undefined ? undefined : true), LIMIT_MS);
        return group.clock.now() - startedAt;
      }),
    );
    const median = waits.sort((a, b) => a - b)[2]!;
    expect(median).toBeLessThan(ELECTION_TIMEOUT_MIN_MS);
  });

  it('keeps in most runs a leader that was paused for slightly more than the shortest election timeout', async () => {
    const kept = await Promise.all(
      Array.from({ length: 12 }, async (_, seed) => {
        const group = await startGroup(seed + 1);
        const { vm } = leaderOf(group);
        vm.freeze();
        await group.run(ELECTION_TIMEOUT_MIN_MS + 70);
        vm.thaw();
        await group.run(20);
        return group.leader === vm;
      }),
    );
    expect(kept.filter((isKept) => isKept).length).toBeGreaterThan(kept.length / 2);
  });

  it('keeps its leader when a member restarts', async () => {
    const group = await startGroup(1);
    const { vm } = leaderOf(group);
    const restarted = followersOf(group)[0]!;
    restarted.crash();
    await group.run(100);
    restarted.start();
    await group.run(2 * ELECTION_TIMEOUT_MAX_MS);
    expect(group.leader).toEqual(vm);
  });

  it('makes a leader without a majority answer `notLeader` after an election timeout', async () => {
    const group = await startGroup(4);
    const { vm, log } = leaderOf(group);
    isolate(group, vm);
    const read = group.read(log);
    // Simulated clocks run at 0.3 times the true rate at the slowest.
    await group.run(ELECTION_TIMEOUT_MAX_MS / 0.3);
    expect(log.status().role === 'leader').toEqual(false);
    expect(await settle(group, read)).toEqual('notLeader');
    expect(await settle(group, group.propose(log))).toEqual('notLeader');
  });

  it('rejects a second change of membership until the first is committed', async () => {
    const group = await startGroup(5);
    const { log } = leaderOf(group);
    const first = log.addLearner(NON_MEMBER);
    const second = log.removeMember(followersOf(group)[0]!.vm, 'unknown');
    const outcomes = await settle<MembershipOutcome[]>(group, Promise.all([first, second]));
    expect(outcomes?.map(({ kind }) => kind)).toEqual(['committed', 'rejected']);
  });

  it('rejects the promotion of a learner that it cannot reach', async () => {
    const group = await startGroup(6);
    const { log } = leaderOf(group);
    await settle(group, log.addLearner(NON_MEMBER));
    const outcome = await settle(group, log.promoteLearner(NON_MEMBER.vm));
    expect(outcome?.kind).toEqual('rejected');
  });

  it('makes a removed leader step down after its removal and never lead again', async () => {
    const group = await startGroup(7);
    const { vm, log } = leaderOf(group);
    const outcome = await settle(group, log.removeMember(vm.vm, vm.member.incarnation));
    expect(outcome?.kind).toEqual('committed');
    await group.run(LIMIT_MS);
    expect(log.status().role).toEqual('follower');
    expect(group.leader === undefined || group.leader === vm).toEqual(false);
  });

  it('ignores messages to another incarnation, whatever their term', async () => {
    const group = await startGroup(8);
    const follower = followersOf(group)[0]!.running!;
    const { term } = follower.status();
    const res = await follower.handleRequestVote({
      candidate: NON_MEMBER,
      term: term + 10,
      lastIndex: 1_000,
      lastTerm: term + 9,
      isPreVote: false,
      toIncarnation: 'another',
    });
    expect(res).toEqual({ term: 0, granted: false });
    expect(follower.status().term).toEqual(term);
  });
});
