/** Commands for control VMs. */
import { setTimeout as sleep } from 'node:timers/promises';
import type { MessageInitShape } from '@bufbuild/protobuf';
import type { Member } from '@marigoldbank/protocol/gen/marigoldbank/v1/consensus_pb';
import type { ChangeMembershipRequestSchema } from '@marigoldbank/protocol/gen/marigoldbank/v1/operator_pb';
import { CommandError } from '../CommandError.js';
import { CLIENT_ARGS, connect, defineLeaf, toTimeoutMs, type Connection } from '../leaf.js';
import { formatTable } from '../table.js';
import type { Io } from '../types.js';
import { fetchStatus, toVoterRows } from './status.js';

type Step = MessageInitShape<typeof ChangeMembershipRequestSchema>['step'];

const CATCH_UP_POLL_MS = 250;

export const controlListCommand = defineLeaf({
  name: 'list',
  description: 'Show the control VMs, their roles and how far behind they are',
  examples: ['control list'],
  args: CLIENT_ARGS,
  run: async (args, io) => {
    const voters = toVoterRows(await fetchStatus(connect(args, io).client));
    return { outcome: 'inForce', json: { voters }, lines: formatTable(voters) };
  },
});

async function changeMembership({ client, settings }: Connection, step: Step): Promise<void> {
  const { operator } = settings;
  const answer = await client.ask((stub) => stub.changeMembership({ operator, step }), true);
  if (answer.case === 'rejected') {
    throw new CommandError({ kind: 'rejected', message: answer.value.reason });
  }
}

const isSame = (a: Member | undefined, b: Member): boolean =>
  a?.vm === b.vm && a.incarnation === b.incarnation;

async function fetchIdentity({ client }: Connection, address: string): Promise<Member> {
  const { member } = await client.askOne(address, (stub) => stub.identity({}));
  if (member !== undefined) return member;
  const message = `${address} does not have the role control`;
  throw new CommandError({ kind: 'rejected', message });
}

/** Waits until the learner holds everything committed. */
async function waitCaughtUp(
  { client }: Connection,
  learner: Member,
  timeoutMs: number,
  io: Io,
): Promise<void> {
  const end = performance.now() + timeoutMs;
  let shown = '';
  for (;;) {
    const { voters, commitIndex } = await fetchStatus(client);
    const status = voters.find(({ member }) => isSame(member, learner));
    const behind = status === undefined ? undefined : Number(commitIndex - status.matchIndex);
    if (behind !== undefined && behind <= 0) return;
    const text = `${learner.vm} is ${behind ?? 'an unknown number of'} records behind`;
    if (text !== shown) io.note(text);
    shown = text;
    if (performance.now() > end) {
      const message = `${learner.vm} did not catch up in time; the voters are unchanged, repeat the command`;
      throw new CommandError({ kind: 'notAccepted', message });
    }
    await sleep(CATCH_UP_POLL_MS);
  }
}

export const controlReplaceCommand = defineLeaf({
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
    const connection = connect(args, io);
    const { client } = connection;
    const added = await fetchIdentity(connection, args.address);
    const { voters } = await fetchStatus(client);
    const known = voters.find(({ member }) => isSame(member, added));
    const old = voters.find(({ member }) => member?.vm === args.old && !isSame(member, added));
    if (old?.member === undefined && known === undefined) {
      const message = `${args.old} is not a control VM`;
      throw new CommandError({ kind: 'rejected', message });
    }
    if (known === undefined) {
      io.note(`adding ${added.vm} as learner`);
      await changeMembership(connection, { case: 'addLearner', value: added });
    }
    const removeOld = async (): Promise<void> => {
      if (old?.member === undefined) return;
      io.note(`removing ${args.old} from the voters`);
      await changeMembership(connection, { case: 'removeMember', value: old.member });
    };
    // A VM that lost its disk: two incarnations of one VM never vote together.
    const isSameVm = old?.member?.vm === added.vm;
    if (known === undefined || known.isLearner) {
      await waitCaughtUp(connection, added, timeoutMs, io);
      if (isSameVm) await removeOld();
      io.note(`promoting ${added.vm} to voter`);
      await changeMembership(connection, { case: 'promoteLearner', value: added });
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
