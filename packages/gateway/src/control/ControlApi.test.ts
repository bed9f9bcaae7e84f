import { describe, it } from 'node:test';
import { NO_FAULTS } from '@marigoldbank/replicated-log/testing';
import { expect } from 'earl';
import type { FakeControlVm } from '../testing/fake-control-parts.js';
import { FakeControlGroup } from '../testing/FakeControlGroup.js';
import { OperatorClient, type OperatorCallResult } from '../testing/OperatorClient.js';
import { GET_TARGET, PUT_TARGET } from '../testing/VersionAdapter.js';

const VMS = 7;

/** Bound within which a valid configuration is acknowledged. */
const ACK_MS = 4_000;

const SEEDS = Array.from({ length: 40 }, (_, i) => i + 1);

function makeOperator(group: FakeControlGroup): OperatorClient {
  return new OperatorClient({
    clock: group.clock,
    random: group.random,
    addresses: () => group.vms.map(({ address }) => address),
    send: (address, target, body) => group.send(address, target, body),
  });
}

function put(group: FakeControlGroup, vm: FakeControlVm, version: number): Promise<unknown> {
  const status = group.send(vm.address, PUT_TARGET, String(version)).then(
    (reply) => [reply.status, reply.location],
    (err: unknown) => String(err),
  );
  return group.settle(status);
}

/** The status with the location of a redirect, or else with the body. */
function read(group: FakeControlGroup, { address }: FakeControlVm): Promise<unknown> {
  const answer = group
    .send(address, GET_TARGET, '')
    .then(({ status, location, body }) => [status, location ?? body]);
  return group.settle(answer);
}

function redirectTo({ address }: FakeControlVm): unknown {
  return [307, `http://${address}${GET_TARGET}`];
}

const ACKNOWLEDGED = [200, undefined];

function hasNoLeader({ log }: FakeControlVm): boolean {
  return log.status().leader === undefined;
}

function describeLate({ tookMs, trace }: OperatorCallResult): string {
  return `${Math.round(tookMs)} ms: ${trace.join(', ')}`;
}

describe('ControlApi', () => {
  // A member asks the leader every 200 ms, which answers after its next heartbeat, every 150 ms.
  it('answers a read at each member, at the leader at once', async () => {
    const group = await FakeControlGroup.start(VMS, 1);
    await put(group, group.leader, 1);
    const startedAt = group.clock.now();
    expect(await read(group, group.leader)).toEqual([200, '1']);
    expect(group.clock.now() - startedAt).toBeLessThan(10);
    const answers = group.followers.map((vm) => read(group, vm));
    expect(await Promise.all(answers)).toEqual(group.followers.map(() => [200, '1']));
    expect(group.clock.now() - startedAt).toBeLessThan(400);
  });

  // A member that still has an older configuration in force, and does not know of a newer one, would give that.
  it('answers a read with what was acknowledged before it, also at a member that was cut off', async () => {
    const group = await FakeControlGroup.start(VMS, 8);
    const [behind, ...others] = group.followers;
    await put(group, group.leader, 1);
    await group.advance(500);
    group.cut([behind!], [group.leader, ...others]);
    await put(group, group.leader, 2);
    expect(await read(group, behind!)).toEqual(redirectTo(group.leader));
    await group.advance(2_000);
    group.healCut();
    await group.runUntil(() => behind!.log.status().leader !== undefined);
    expect(await read(group, behind!)).toEqual([200, '2']);
  });

  // Redirected to a busy leader, the operator would lose its second there.
  it('acknowledges a change at a member that does not lead, at once', async () => {
    const group = await FakeControlGroup.start(VMS, 1);
    const startedAt = group.clock.now();
    expect(await put(group, group.followers[0]!, 1)).toEqual(ACKNOWLEDGED);
    expect(group.clock.now() - startedAt).toBeLessThan(10);
    expect(group.leader.stateMachine.current?.plan.version).toEqual(1);
  });

  // The leader had the announcements of a part of the targets beside its heartbeats, and was saturated.
  it('sends targets from the leader to the other control VMs in turn, and from nowhere else', async () => {
    const group = await FakeControlGroup.start(VMS, 6);
    await group.advance(2_000);
    const announce = async ({ api }: FakeControlVm): Promise<unknown> => {
      const res = await group.settle(api.respond({ kind: 'announce', id: 'i-1' }, '/', ''));
      return res.body;
    };
    expect(await announce(group.followers[0]!)).toEqual('');
    const named: unknown[] = [];
    for (let i = 0; i < 2 * (VMS - 1); i += 1) named.push(await announce(group.leader));
    const others = group.followers.map(({ address }) => address).sort();
    expect([...new Set(named)].sort()).toEqual(others);
  });

  // Redirected to the frozen leader, the operator would wait there for a second and then back off.
  it('keeps a change while its leader is silent, and has it acknowledged by the next one', async () => {
    const group = await FakeControlGroup.start(VMS, 2);
    const frozen = group.leader;
    group.freeze(frozen);
    await group.advance(380);
    expect(group.leader.ip).toEqual(frozen.ip);
    const reply = await put(group, group.followers[0]!, 1);
    expect(group.leader.ip).not.toEqual(frozen.ip);
    expect(reply).toEqual(ACKNOWLEDGED);
  });

  // The operator would back off although an election takes less than a second.
  it('keeps a call during an election instead of refusing it', async () => {
    const group = await FakeControlGroup.start(VMS, 3);
    // Slow links let the election last longer.
    group.network.setFaults({ ...NO_FAULTS, minDelayMs: 30, maxDelayMs: 40 });
    group.freeze(group.leader);
    await group.runUntil(() => group.vms.some(hasNoLeader));
    const reply = await put(group, group.vms.find(hasNoLeader)!, 1);
    expect(reply).toEqual(ACKNOWLEDGED);
  });

  // A thawed leader learns only from its first message that there is another one.
  it('has changes that waited at a frozen leader acknowledged by the next one, and reads answered', async () => {
    const group = await FakeControlGroup.start(VMS, 4);
    const frozen = group.leader;
    group.freeze(frozen);
    await group.advance(2_500);
    const change = put(group, frozen, 1);
    const answer = read(group, frozen);
    await group.advance(100);
    group.thaw(frozen);
    expect(await change).toEqual(ACKNOWLEDGED);
    expect(await answer).toEqual([200, '1']);
  });

  // With a slow majority the confirmations of the leader came late, and followers answered 503 while heartbeats arrived.
  it('redirects a read to a leader that confirms nothing but sends heartbeats', async () => {
    const group = await FakeControlGroup.start(VMS, 7);
    const [follower] = group.followers;
    Object.assign(follower!.confirmation, { confirmedAgeMs: () => Infinity });
    const startedAt = group.clock.now();
    expect(await read(group, follower!)).toEqual(redirectTo(group.leader));
    expect(group.clock.now() - startedAt).toBeLessThan(900);
    expect(await put(group, follower!, 1)).toEqual(ACKNOWLEDGED);
  });

  it('answers without a leader before operators give up', async () => {
    const group = await FakeControlGroup.start(VMS, 5);
    group.vms.slice(0, 4).forEach((vm) => group.freeze(vm));
    await group.advance(2_000);
    const startedAt = group.clock.now();
    expect(await put(group, group.vms[6]!, 1)).toEqual([503, undefined]);
    expect(group.clock.now() - startedAt).toBeLessThan(900);
  });

  it('acknowledges an order within 4 s, and reads it back, when the leader freezes', async () => {
    const late: string[] = [];
    const run = async (seed: number): Promise<void> => {
      const group = await FakeControlGroup.start(6 + (seed % 2), seed);
      const operator = makeOperator(group);
      group.freeze(group.leader);
      await group.advance(group.random.int(1_500));
      const result = await group.settle(operator.call(PUT_TARGET, '7', ACK_MS));
      if (result.reply?.status !== 200) late.push(`seed ${seed}: ${describeLate(result)}`);
      const held = await group.settle(operator.call(GET_TARGET, '', ACK_MS));
      if (held.reply?.body !== '7') late.push(`seed ${seed}, read: ${describeLate(held)}`);
    };
    await SEEDS.reduce((earlier, seed) => earlier.then(() => run(seed)), Promise.resolve());
    expect(late).toEqual([]);
  });
});
