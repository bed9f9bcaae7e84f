/** Three members in one process on FileLogStorage, connected by function calls. */
import path from 'node:path';
import {
  ConsensusTransport,
  FileLogStorage,
  openReplicatedLog,
} from '@marigoldbank/replicated-log';
import { WordCounts } from './WordCounts.mjs';

const FOUNDERS = ['vm-1', 'vm-2', 'vm-3'].map((vm, i) => ({
  vm,
  incarnation: '',
  address: `127.0.0.1:${7001 + i}`,
}));

/** Calls the handlers of the members directly; finds members by address. */
class LocalTransport extends ConsensusTransport {
  constructor(members) {
    super();
    this.members = members;
  }

  async requestVote(to, req) {
    return this.find(to).handleRequestVote(req);
  }

  async appendEntries(to, req) {
    return this.find(to).handleAppendEntries(req);
  }

  async installSnapshot(to, req) {
    return this.find(to).handleInstallSnapshot(req);
  }

  find(to) {
    const log = this.members.get(to.address);
    if (log === undefined) throw new Error(`${to.address} does not listen`);
    return log;
  }
}

/** Opens the members, with their data folders in `folder`. */
export async function openGroup(folder, tuning = {}) {
  const members = new Map();
  const transport = new LocalTransport(members);
  return Promise.all(
    FOUNDERS.map(async ({ vm, address }) => {
      const stateMachine = new WordCounts();
      const storage = new FileLogStorage(path.join(folder, vm));
      const bootstrap = FOUNDERS;
      const options = { vm, address, storage, transport, stateMachine, bootstrap, tuning };
      const log = await openReplicatedLog(options);
      members.set(address, log);
      return { log, stateMachine };
    }),
  );
}

/** Waits for a leader. */
export async function findLeader(group) {
  const leader = group.find(({ log }) => log.status().role === 'leader');
  if (leader !== undefined) return leader;
  await new Promise((resolve) => {
    setTimeout(resolve, 10);
  });
  return findLeader(group);
}
