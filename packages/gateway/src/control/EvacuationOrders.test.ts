/** Orders about evacuations of operators who call any control VM, in virtual time. */
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { GROWN_COSTS } from '../testing/fake-control-parts.js';
import { FakeControlGroup, type FakeControlVm } from '../testing/FakeControlGroup.js';
import { OperatorClient, type ControlReply } from '../testing/OperatorClient.js';
import { END_TARGET, START_TARGET } from '../testing/VersionAdapter.js';
import { encodeCommand } from './commands.js';
import type { ForwardedCommand } from './CommandSubmitter.js';
import { makeEmptyPlan } from '../testing/fixtures.js';

const VMS = 7;
const START = `${START_TARGET}dc-1`;
const END = `${END_TARGET}dc-1`;

/** Bound for an acknowledgement while control is stable. */
const ACK_MS = 4_000;

/** Time within which all members have what is committed. */
const REPLICATION_MS = 500;

function send(
  group: FakeControlGroup,
  { address }: FakeControlVm,
  target: string,
): Promise<ControlReply | undefined> {
  return group.settle(group.send(address, target, '').catch(() => undefined));
}

async function statusOf(
  group: FakeControlGroup,
  vm: FakeControlVm,
  target: string,
): Promise<number | undefined> {
  return (await send(group, vm, target))?.status;
}

/** Whether dc-1 is evacuated, at each member. */
async function statesOf(group: FakeControlGroup): Promise<(boolean | undefined)[]> {
  await group.advance(REPLICATION_MS);
  return group.vms.map(({ stateMachine }) => stateMachine.evacuations.get('dc-1')?.isEvacuated);
}

function all<T>(value: T): T[] {
  return Array.from({ length: VMS }, () => value);
}

function makeOperator(group: FakeControlGroup): OperatorClient {
  return new OperatorClient({
    clock: group.clock,
    random: group.random,
    addresses: () => group.vms.map(({ address }) => address),
    send: (address, target, body) => group.send(address, target, body),
  });
}

describe('EvacuationOrders', () => {
  it('acknowledges an order at any member, and one that is in effect already', async () => {
    const group = await FakeControlGroup.start(VMS, 1);
    const [first, second] = group.followers;
    expect(await statusOf(group, first!, START)).toEqual(200);
    expect(await statusOf(group, second!, START)).toEqual(200);
    expect(await statesOf(group)).toEqual(all(true));
    expect(await statusOf(group, group.leader, END)).toEqual(200);
    expect(await statesOf(group)).toEqual(all(false));
  });

  // Each member sends its order on the number of orders that it knows; all but one of them come too late.
  it('acknowledges two operators at once within 4 s, and all members agree', async () => {
    for (let seed = 1; seed <= 10; seed += 1) {
      const group = await FakeControlGroup.start(VMS, seed);
      const calls = [START, END, START, END].map((target) =>
        makeOperator(group).call(target, '', ACK_MS),
      );
      const results = await group.settle(Promise.all(calls));
      expect(results.map(({ reply }) => reply?.status)).toEqual([200, 200, 200, 200]);
      const states = await statesOf(group);
      expect(states).toEqual(all(states[0]));
    }
  });

  // The answer was lost, and the operator had the order repeated and revoked by others before it came to the leader.
  it('does not apply a start that is pending while an end is committed through another member', async () => {
    const group = await FakeControlGroup.start(VMS, 3);
    const [first, second] = group.followers;
    const { submitter } = group.leader;
    const { accept } = submitter;
    const held: (readonly ForwardedCommand[])[] = [];
    Object.assign(submitter, {
      accept: (commands: readonly ForwardedCommand[]) => {
        held.push(commands);
        return new Promise(() => {});
      },
    });
    expect(await statusOf(group, first!, START)).toEqual(504);
    Object.assign(submitter, { accept });
    expect(await statusOf(group, second!, START)).toEqual(200);
    expect(await statusOf(group, second!, END)).toEqual(200);
    await group.settle(Promise.all(held.map((commands) => submitter.accept(commands))));
    await group.advance(ACK_MS);
    expect(await statesOf(group)).toEqual(all(false));
  });

  // A suspended process reads calls long after their callers have left, and then knows the newest order.
  it('does not send an order whose operator has left while the member was frozen', async () => {
    const group = await FakeControlGroup.start(VMS, 4);
    const [first, second] = group.followers;
    group.freeze(first!);
    expect(await statusOf(group, first!, START)).toEqual(undefined);
    expect(await statusOf(group, second!, START)).toEqual(200);
    expect(await statusOf(group, second!, END)).toEqual(200);
    group.thaw(first!);
    await group.advance(ACK_MS);
    expect(await statesOf(group)).toEqual(all(false));
  });

  // A member that has missed an end took the start for an order that is in effect.
  it('has a start in effect that is sent to a member that was cut off before the end', async () => {
    const group = await FakeControlGroup.start(VMS, 5);
    const [behind, ...others] = group.followers;
    await send(group, behind!, START);
    await group.advance(REPLICATION_MS);
    group.cut([behind!], [group.leader, ...others]);
    expect(await statusOf(group, others[0]!, END)).toEqual(200);
    group.healCut();
    expect(await statusOf(group, behind!, START)).toEqual(200);
    expect(await statesOf(group)).toEqual(all(true));
  });

  it('keeps an order over a loss of power of all control VMs', async () => {
    const group = await FakeControlGroup.start(VMS, 6);
    expect(await statusOf(group, group.followers[0]!, START)).toEqual(200);
    group.cutPower();
    await group.advance(1_400);
    await group.returnPower(GROWN_COSTS, 150);
    await group.advance(ACK_MS);
    expect(await statesOf(group)).toEqual(all(true));
  });

  // A control VM that replaces another one gets a snapshot instead of the commands.
  it('hands an order to a member that gets a snapshot', async () => {
    const group = await FakeControlGroup.start(VMS, 7, VMS - 1);
    const behind = group.vms.at(-1)!;
    const others = group.vms.slice(0, -1);
    group.cut([behind], others);
    expect(await statusOf(group, group.leader, START)).toEqual(200);
    const plans = Array.from({ length: 600 }, (_, i) => makeEmptyPlan(i));
    const { log } = group.leader;
    await group.settle(
      Promise.all(
        plans.map((plan) => log.propose(encodeCommand({ kind: 'putPlan', document: '', plan }))),
      ),
    );
    let restores = 0;
    behind.stateMachine.onDidRestore(() => {
      restores += 1;
    });
    group.healCut();
    await group.advance(ACK_MS);
    expect(restores).toBeGreaterThan(0);
    expect(await statesOf(group)).toEqual(all(true));
  });
});

describe('EvacuationCalls', () => {
  it('refuses an unknown data centre with an error that names the field, and orders nothing', async () => {
    const group = await FakeControlGroup.start(VMS, 8);
    const unknown = await send(group, group.leader, `${START_TARGET}dc-9`);
    expect([unknown?.status, unknown?.body]).toEqual([
      400,
      JSON.stringify({ error: 'dataCentre: "dc-9" is not known' }),
    ]);
    expect(await statusOf(group, group.leader, START_TARGET)).toEqual(400);
    const counts = group.vms.map(({ stateMachine }) => stateMachine.evacuations.messages().length);
    expect(counts).toEqual(all(0));
  });

  it('warns if less than half of the slots of a service are left, counting earlier evacuations', async () => {
    const group = await FakeControlGroup.start(VMS, 9);
    group.slots.set([
      { service: 'orders', dataCentre: 'dc-1', slots: 30 },
      { service: 'orders', dataCentre: 'dc-2', slots: 30 },
      { service: 'orders', dataCentre: 'dc-3', slots: 20 },
    ]);
    const bodyOf = async (target: string): Promise<string | undefined> =>
      (await send(group, group.leader, target))?.body;
    expect(await bodyOf(START)).toEqual('{}');
    expect(await bodyOf(`${START_TARGET}dc-3`)).toEqual(
      JSON.stringify({ warnings: ['service orders has 30 of 80 slots left'] }),
    );
    expect(await bodyOf(END)).toEqual('{}');
  });

  it('answers 503 without a leader', async () => {
    const group = await FakeControlGroup.start(VMS, 10);
    group.vms.slice(0, 4).forEach((vm) => group.freeze(vm));
    await group.advance(2_000);
    expect(await statusOf(group, group.vms[6]!, START)).toEqual(503);
  });
});
