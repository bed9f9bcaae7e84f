/** Bootstraps a group, commits some commands, reads and restarts. Run: node examples/threeMembers.mjs */
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { findLeader, openGroup } from './localGroup.mjs';

const print = (...parts) => process.stdout.write(`${parts.join(' ')}\n`);

const folder = await mkdtemp(path.join(tmpdir(), 'three-members-'));

const first = await openGroup(folder);
const { log } = await findLeader(first);
print('leader:', log.status().self.vm, 'in term', log.status().term);

const outcomes = await Promise.all(
  ['ice', 'ice', 'truck'].map((word) => log.propose(Buffer.from(word))),
);
outcomes.forEach(({ kind, index, result }) =>
  print(kind, 'at', index, 'count', Buffer.from(result).toString()),
);
await Promise.all(first.map((member) => member.log.close()));

const second = await openGroup(folder);
const leader = await findLeader(second);
const read = await leader.log.confirmRead();
print(read.kind, 'at', read.index, [...leader.stateMachine.counts].join(' '));
await Promise.all(second.map((member) => member.log.close()));
await rm(folder, { recursive: true });
