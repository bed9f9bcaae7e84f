/** Commands for control VMs. */
import { setTimeout as sleep } from 'node:timers/promises';
import type { MessageInitShape } from '@bufbuild/protobuf';
import type { Member } from '@marigoldbank/protocol/gen/marigoldbank/v1/consensus_pb';
import type { ChangeMembershipRequestSchema } from '@marigoldbank/protocol/gen/marigoldbank/v1/operator_pb';
import { CommandError } from '../CommandError.js';
import {
  CLIENT_ARGS,
  createClientContext,
  defineCliCommand,
  toTimeoutMs,
  type ClientContext,
} from '../define-command.js';
import { formatTable } from '../table.js';
import type { Io } from '../types.js';
import { fetchStatus, toVoterRows } from './status.js';

type Step = MessageInitShape<typeof ChangeMembershipRequestSchema>['step'];

const CATCH_UP_POLL_MS = 250;

export const controlListCommand = defineCliCommand({
  name: 'list',
  description: 'Show the control VMs, their roles and how far behind they are',
  examples: ['control list'],
  args: CLIENT_ARGS,
  run: async (args, io) => {
    const voters = toVoterRows(await fetchStatus(createClientContext(args, io).client));
    return { outcome: 'inForce', json: { voters }, lines: formatTable(voters) };
  },
});

async function changeMembership({ client, settings }: ClientContext, step: Step): Promise<void> {
  const { operator } = settings;
  const answer = await client.callLeader((stub) => stub.changeMembership({ operator, step }), true);
  if (answer.case === 'rejected') {
    throw new CommandError({ kind: 'rejected', message: answer.value.reason });
  }
}

const isSameMember = (a: Member | undefined, b: Member): boolean =>
  a?.vm === b.vm && a.incarnation === b.incarnation;

async function fetchIdentity({ client }: ClientContext, address: string): Promise<Member> {
  const { member } = await client.callAddress(address, (stub) => stub.identity({}));
  if (member !== undefined) return member;
  const message = `${address} does not have the role control`;
  throw new CommandError({ kind: 'rejected', message });
}

/** Waits until the log of the learner contains all committed records. */
async function waitForCatchUp(
  { client }: ClientContext,
  learner: Member,
  timeoutMs: number,
  io: Io,
): Promise<void> {
  const end = performance.now() + timeoutMs;
  let shown = '';
  for (;;) {
    const { voters, commitIndex } = await fetchStatus(client);
    const status = voters.find(({ member }) => isSameMember(member, learner));
    const behind = status === undefined ? undefined : Number(commitIndex - status.matchIndex);
    if (behind !== undefined && behind <= 0) return;
    const text = `${learner.vm} is ${behind ?? 'an unknown number of'} records behind`;
    if (text !== shown) io.writeStderr(text);
    shown = text;
    if (performance.now() > end) {
      const message = `${learner.vm} did not catch up in time; the voters are unchanged, repeat the command`;
      throw new CommandError({ kind: 'notAccepted', message });
    }
    await sleep(CATCH_UP_POLL_MS);
  }
}

export const controlReplaceCommand = defineCliCommand({
  name: 'replace',
  description:
    'Replace a control VM: add the new one as learner, wait, promote it, remove the old one',
  examples: ['control replace vm-1 10.0.1.9:9080', 'control replace vm-1 10.0.1.1:9080'],
  args: {
    old: { type: 'positional', required: true, description: 'VM to remove' },
    address: {
      type: 'positional',
      required: true,
      description: 'Internal address of the new control VM, already started',
    },
    ...CLIENT_ARGS,
    timeout: {
      type: 'string',
      default: '120',
      description: 'Seconds to wait until the new VM has caught up',
      valueHint: 'seconds',
    },
  },
  run: async (args, io) => {
    const timeoutMs = toTimeoutMs(args.timeout);
    const context = createClientContext(args, io);
    const { client } = context;
    const added = await fetchIdentity(context, args.address);
    const { voters } = await fetchStatus(client);
    const known = voters.find(({ member }) => isSameMember(member, added));
    const old = voters.find(
      ({ member }) => member?.vm === args.old && !isSameMember(member, added),
    );
    if (old?.member === undefined && known === undefined) {
      const message = `${args.old} is not a control VM`;
      throw new CommandError({ kind: 'rejected', message });
    }
    if (known === undefined) {
      io.writeStderr(`adding ${added.vm} as learner`);
      await changeMembership(context, { case: 'addLearner', value: added });
    }
    const removeOld = async (): Promise<void> => {
      if (old?.member === undefined) return;
      io.writeStderr(`removing ${args.old} from the voters`);
      await changeMembership(context, { case: 'removeMember', value: old.member });
    };
    // If a VM lost its disk, its old incarnation is removed before the new one is promoted, since two incarnations of a
    // VM must never vote together.
    const isSameVm = old?.member?.vm === added.vm;
    if (known === undefined || known.isLearner) {
      await waitForCatchUp(context, added, timeoutMs, io);
      if (isSameVm) await removeOld();
      io.writeStderr(`promoting ${added.vm} to voter`);
      await changeMembership(context, { case: 'promoteLearner', value: added });
    }
    client.addAddress(added.address);
    if (!isSameVm) await removeOld();
    const { vm, address, incarnation } = added;
    return {
      outcome: 'inForce',
      json: { removed: args.old, added: { vm, address, incarnation } },
      lines: [
        `${vm} (${address}) is a control VM in place of ${args.old}`,
        'write the new address to `control` in the settings of all daemons and operators',
      ],
    };
  },
});
