import { randomBytes } from 'node:crypto';
import { describe, it } from 'node:test';
import { delay } from '@marigoldbank/base/clock';
import { Code, ConnectError } from '@connectrpc/connect';
import { expect } from 'earl';
import type { FakeControlVm } from '../testing/fake-control-parts.js';
import { FakeControlGroup } from '../testing/FakeControlGroup.js';
import { makeEmptyPlan } from '../testing/fixtures.js';
import { commandKey, encodeCommand, type CommandInit } from './commands.js';
import type { ForwardedCommand, SubmitOutcome } from './CommandSubmitter.js';

const VMS = 5;

const WAIT_MS = 850;

function plan(version: number): CommandInit {
  return { kind: 'putPlan', document: `plan ${version}`, plan: makeEmptyPlan(version) };
}

function leaving(at: number): CommandInit {
  return { kind: 'markLeaving', id: 'i-1', born: 7, isGone: true, at };
}

function submit(
  group: FakeControlGroup,
  { submitter }: FakeControlVm,
  command: CommandInit,
): Promise<SubmitOutcome> {
  return group.settle(submitter.submit(command, WAIT_MS));
}

function cutOff(group: FakeControlGroup, vm: FakeControlVm): void {
  group.cut(
    [vm],
    group.vms.filter((other) => other !== vm),
  );
}

describe('CommandSubmitter', () => {
  // The answer of the leader was lost or late, although the member had applied the command.
  it('counts a command as committed once it is in effect here', async () => {
    const group = await FakeControlGroup.start(VMS, 1);
    const [follower] = group.followers;
    Object.assign(group.leader.submitter, { accept: () => new Promise(() => {}) });
    expect(await submit(group, follower!, plan(3))).toEqual('pending');
    const command = encodeCommand(plan(3));
    const applied = group.settle(follower!.submitter.submit(plan(3), WAIT_MS));
    await group.settle(group.leader.log.propose(command));
    expect(await applied).toEqual('committed');
    const startedAt = group.clock.now();
    expect(await follower!.submitter.submit(plan(3), WAIT_MS)).toEqual('committed');
    expect(await follower!.submitter.submit(plan(2), WAIT_MS)).toEqual('committed');
    expect(group.clock.now()).toEqual(startedAt);
  });

  // A member that forgot a command with its caller had every further call begin anew.
  it('pursues a command after its caller has left', async () => {
    const group = await FakeControlGroup.start(VMS, 2);
    const [follower] = group.followers;
    group.saturate(group.leader, 1_000);
    const outcome = await group.settle(follower!.submitter.submit(plan(4), 20));
    expect(outcome).toEqual('pending');
    await group.advance(2_500);
    expect(follower!.stateMachine.current?.plan.version).toEqual(4);
  });

  it('sends a command to the next leader if the one before has frozen with it', async () => {
    const group = await FakeControlGroup.start(VMS, 3);
    const { leader } = group;
    group.freeze(leader);
    const [follower] = group.vms.filter((vm) => vm !== leader);
    expect(await group.settle(follower!.submitter.submit(plan(5), 3_000))).toEqual('committed');
    expect(group.leader.ip).not.toEqual(leader.ip);
  });

  // "Not sent" is answered as a refusal, so the command must not run later.
  it('drops a command that no leader has got when its caller leaves', async () => {
    const group = await FakeControlGroup.start(VMS, 4);
    const [follower] = group.followers;
    cutOff(group, follower!);
    await group.advance(3_000);
    expect(await submit(group, follower!, plan(6))).toEqual('notSent');
    group.healCut();
    await group.advance(5_000);
    expect(group.vms.map(({ stateMachine }) => stateMachine.current)).toEqual(
      group.vms.map(() => undefined),
    );
  });

  // Targets repeat a notice at other members, each with its own time.
  it('appends a command once that several members forward at the same time', async () => {
    const group = await FakeControlGroup.start(VMS, 5);
    const before = group.leader.log.status().lastIndex;
    const outcomes = group.followers.map(({ submitter }, i) =>
      submitter.submit(leaving(i), WAIT_MS),
    );
    await group.settle(Promise.all(outcomes));
    expect(group.leader.log.status().lastIndex).toEqual(before + 1);
  });

  it('does not propose a plan that is superseded at the leader', async () => {
    const group = await FakeControlGroup.start(VMS, 6);
    const { leader } = group;
    await submit(group, leader, plan(9));
    const before = leader.log.status().lastIndex;
    const command = { key: 'plan 8', data: encodeCommand(plan(8)) };
    expect(await group.settle(leader.submitter.accept([command]))).toEqual(true);
    expect(leader.log.status().lastIndex).toEqual(before);
  });

  // The first configuration of a fleet was acknowledged and stored nowhere if its version was 0.
  it('commits a first plan of version 0 through any member', async () => {
    const group = await FakeControlGroup.start(VMS, 10);
    const [follower] = group.followers;
    const before = group.leader.log.status().lastIndex;
    expect(await submit(group, follower!, plan(0))).toEqual('committed');
    await group.advance(500);
    expect(group.vms.map(({ stateMachine }) => stateMachine.current?.plan.version)).toEqual(
      group.vms.map(() => 0),
    );
    expect(await submit(group, group.leader, plan(0))).toEqual('committed');
    expect(group.leader.log.status().lastIndex).toEqual(before + 1);
  });

  it('shares calls among commands while the leader is busy', async () => {
    const group = await FakeControlGroup.start(VMS, 7);
    const [follower] = group.followers;
    const { leader } = group;
    let calls = 0;
    const { accept } = leader.submitter;
    Object.assign(leader.submitter, {
      accept: (...args: Parameters<typeof accept>) => {
        calls += 1;
        return accept.apply(leader.submitter, args);
      },
    });
    group.saturate(leader, 200);
    const versions = Array.from({ length: 20 }, (_, i) => i + 1);
    await group.settle(
      Promise.all(versions.map((version) => follower!.submitter.submit(plan(version), 3_000))),
    );
    expect(calls).toBeLessThan(6);
  });

  // A change waited for a second behind notices of targets, whose calls a busy leader had not answered.
  it('does not let a command wait for the answers to earlier calls', async () => {
    const group = await FakeControlGroup.start(VMS, 9);
    const [follower] = group.followers;
    const { leader } = group;
    const received: string[] = [];
    Object.assign(leader.submitter, {
      accept: (commands: readonly ForwardedCommand[]) => {
        received.push(...commands.map(({ key }) => key));
        return new Promise(() => {});
      },
    });
    const commands = [leaving(1), plan(1), plan(2), plan(3)];
    const outcomes = Promise.all(
      commands.map((command) => follower!.submitter.submit(command, WAIT_MS)),
    );
    await group.advance(200);
    expect([...received].sort()).toEqual(commands.map(commandKey).sort());
    expect(await group.settle(outcomes)).toEqual(commands.map(() => 'pending'));
  });

  // Members sent changes of some hundred kB to a busy leader again each second, and gave up its answers after two.
  it('sends a large command once while the leader may still receive it', async () => {
    const group = await FakeControlGroup.start(VMS, 11);
    const [follower] = group.followers;
    const { leader } = group;
    const received: string[] = [];
    Object.assign(leader.submitter, {
      accept: async (commands: readonly ForwardedCommand[]) => {
        received.push(...commands.map(({ key }) => key));
        await delay(group.clock, 3_500);
        return true;
      },
    });
    const document = randomBytes(1_000_000).toString('base64');
    const command = { ...plan(1), document };
    expect(await group.settle(follower!.submitter.submit(command, 4_000))).toEqual('committed');
    expect(received).toEqual([commandKey(command)]);
  });

  it('says so if the leader takes no commands from other members', async () => {
    const group = await FakeControlGroup.start(VMS, 8);
    Object.assign(group.leader.submitter, {
      accept: () => Promise.reject(new ConnectError('no such method', Code.Unimplemented)),
    });
    expect(await submit(group, group.followers[0]!, plan(1))).toEqual('unsupported');
  });
});
