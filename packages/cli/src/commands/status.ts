/** Commands that show the state of the fleet. */
import type { FleetStatus } from '@marigoldbank/protocol/gen/marigoldbank/v1/operator_pb';
import { CommandError } from '../CommandError.js';
import { CLIENT_ARGS, createClientContext, defineCliCommand } from '../define-command.js';
import type { OperatorClient } from '../OperatorClient.js';
import { formatTable } from '../table.js';

/** An age of this many milliseconds or more means that the VM never answered. */
const NEVER_MS = 1_000_000_000_000;

const formatAge = (ageMs: bigint): string =>
  Number(ageMs) >= NEVER_MS ? 'never' : `${Number(ageMs)} ms ago`;

export async function fetchStatus(client: OperatorClient): Promise<FleetStatus> {
  const { value } = await client.callLeader((stub) => stub.status({}));
  return value;
}

/** Rows of the control VMs for tables and JSON. */
export function toVoterRows({ voters, commitIndex }: FleetStatus): Record<string, unknown>[] {
  return voters.map(({ member, isLearner, isLeader, matchIndex, lastContactAgeMs }) => {
    const role = isLearner ? 'learner' : 'voter';
    return {
      vm: member?.vm ?? '',
      address: member?.address ?? '',
      incarnation: member?.incarnation ?? '',
      role: isLeader ? 'leader' : role,
      behind: Math.max(0, Number(commitIndex) - Number(matchIndex)),
      lastContact: formatAge(lastContactAgeMs),
    };
  });
}

function toEntryRows({ entries }: FleetStatus): Record<string, unknown>[] {
  return entries.map(({ entry, revision, isCurrent, isDraining, lastPollAgeMs }) => ({
    vm: entry?.vm ?? '',
    dataCentre: entry?.dataCentre ?? '',
    callerAddress: entry?.callerAddress ?? '',
    revision: Number(revision),
    current: isCurrent,
    draining: isDraining,
    lastPoll: formatAge(lastPollAgeMs),
  }));
}

export const statusCommand = defineCliCommand({
  name: 'status',
  description: 'Show revisions, control VMs and entry VMs',
  examples: ['status', 'status --json'],
  args: CLIENT_ARGS,
  run: async (args, io) => {
    const status = await fetchStatus(createClientContext(args, io).client);
    const voters = toVoterRows(status);
    const entries = toEntryRows(status);
    const revision = Number(status.revision);
    const acceptedRevision = Number(status.acceptedRevision);
    const listsRevision = Number(status.listsRevision);
    const currentCount = status.entries.filter(({ isCurrent }) => isCurrent).length;
    const lines = [
      `revision ${revision}, accepted ${acceptedRevision}, lists of revision ${listsRevision}`,
      `${currentCount} of ${entries.length} entries are current`,
      '',
      ...formatTable(voters),
      '',
      ...formatTable(entries),
    ];
    const json = { revision, acceptedRevision, listsRevision, voters, entries };
    return { outcome: 'inForce', json, lines };
  },
});

/** Internal address of the entry to ask: the one named, or the first current one. */
async function addressOfEntry(client: OperatorClient, vm: string | undefined): Promise<string> {
  const { entries } = await fetchStatus(client);
  const found = entries.find(({ entry, isCurrent }) =>
    vm === undefined ? isCurrent : entry?.vm === vm,
  );
  if (found?.entry !== undefined) return found.entry.internalAddress;
  const message = vm === undefined ? 'no entry is current' : `the fleet has no entry ${vm}`;
  throw new CommandError({ kind: 'unreachable', message });
}

export const explainCommand = defineCliCommand({
  name: 'explain',
  description: 'Ask an entry what would happen to a request, without sending it',
  examples: [
    'explain GET /orders/17 --team hotel-muscat',
    'explain POST /orders --team hotel-muscat --entry vm-17',
  ],
  args: {
    method: { type: 'positional', required: true, description: 'HTTP method' },
    path: { type: 'positional', required: true, description: 'Path without query' },
    team: { type: 'string', default: '-', description: 'Team whose key the request has' },
    entry: { type: 'string', description: 'VM to ask (default: the first current one)' },
    ...CLIENT_ARGS,
  },
  run: async (args, io) => {
    const { client } = createClientContext(args, io);
    const address = await addressOfEntry(client, args.entry);
    const team = args.team === '-' ? '' : args.team;
    const { method, path } = args;
    const request = { method: method.toUpperCase(), path, team };
    const answer = await client.callAddress(address, (stub) => stub.explain(request));
    const targets = answer.targets.map(({ target, service, status, reason }) => ({
      target,
      service,
      status,
      reason,
    }));
    const { outcome, steps } = answer;
    return {
      outcome: 'inForce',
      json: { entry: address, outcome, steps, targets },
      lines: [`asked ${address}`, ...steps, `outcome: ${outcome}`, '', ...formatTable(targets)],
    };
  },
});
