import { describe, it } from 'node:test';
import { VirtualClock } from '@marigoldbank/base/virtual-clock';
import { Random } from '@marigoldbank/base/random';
import { expect } from 'earl';
import { openReplicatedLog } from './api.js';
import { FakeNetwork, NO_FAULTS } from './FakeNetwork.js';
import { FakeTransport } from './FakeTransport.js';
import { MemoryDisk } from './MemoryDisk.js';
import { MemoryLogStorage } from './MemoryLogStorage.js';
import type { ReplicatedLog } from './ReplicatedLog.js';
import { RecordingStateMachine } from './simulation/RecordingStateMachine.js';
import { History } from './simulation/History.js';

import type { AppendEntriesRequest, AppendEntriesResponse, Member } from './types.js';

const NAMES = ['vm-0', 'vm-1', 'vm-2'];
const LARGE_BYTES = 700_000;

/** Times within which members of control VMs answer, with slow links: a request and its answer take 0.4 to 0.6 s. */
const TUNING = {
  heartbeatIntervalMs: 150,
  electionTimeoutMinMs: 1_500,
  electionTimeoutMaxMs: 3_000,
  resendAfterMs: 250,
};
const SLOW_LINKS = { ...NO_FAULTS, minDelayMs: 200, maxDelayMs: 300 };

class CountingTransport extends FakeTransport {
  public readonly sizes: number[] = [];

  public override appendEntries(
    to: Member,
    req: AppendEntriesRequest,
  ): Promise<AppendEntriesResponse> {
    this.sizes.push(...req.entries.map(({ data }) => data.length));
    return super.appendEntries(to, req);
  }
}

interface Group {
  readonly clock: VirtualClock;
  readonly network: FakeNetwork;
  readonly leader: ReplicatedLog;
  /** How often entries of a size were sent. */
  readonly countSent: (bytes: number) => number;
}

async function startGroup(): Promise<Group> {
  const clock = new VirtualClock();
  const random = new Random(1);
  const network = new FakeNetwork(clock, random);
  const bootstrap = NAMES.map((vm) => ({ vm, incarnation: '', address: `${vm}:1` }));
  const transports = NAMES.map((vm) => new CountingTransport(network, `${vm}:1`));
  const opened = Promise.all(
    NAMES.map((vm, i) =>
      openReplicatedLog({
        vm,
        address: `${vm}:1`,
        storage: new MemoryLogStorage(new MemoryDisk(vm), clock, random.fork()),
        transport: transports[i]!,
        stateMachine: new RecordingStateMachine(new History()),
        bootstrap,
        clock,
        random: random.fork(),
        tuning: TUNING,
      }),
    ),
  );
  await clock.advanceAsync(100);
  const logs = await opened;
  logs.forEach((log, i) => network.attach(`${NAMES[i]}:1`, log));
  await clock.advanceAsync(6_000);
  const leader = logs.find((log) => log.status().role === 'leader')!;
  const countSent = (bytes: number): number =>
    transports.flatMap(({ sizes }) => sizes).filter((size) => size === bytes).length;
  return { clock, network, leader, countSent };
}

describe('Replicator', () => {
  // Large entries were sent again while their answers were due. The copies delayed the answers, so that more copies were sent.
  it('sends a large entry once to each member that takes longer than the time for a small one', async () => {
    const { clock, network, leader, countSent } = await startGroup();
    network.setFaults(SLOW_LINKS);
    const committed = leader.propose(new Uint8Array(LARGE_BYTES));
    await clock.advanceAsync(3_000);
    expect((await committed).kind).toEqual('committed');
    expect(countSent(LARGE_BYTES)).toEqual(NAMES.length - 1);
  });

  // A connection may go silent without an error.
  it('sends a large entry again once its transfer must have ended', async () => {
    const { clock, network, leader, countSent } = await startGroup();
    network.setFaults({ ...NO_FAULTS, dropProbability: 1 });
    leader.propose(new Uint8Array(LARGE_BYTES)).catch(() => undefined);
    await clock.advanceAsync(100);
    network.setFaults(NO_FAULTS);
    await clock.advanceAsync(4_000);
    expect(countSent(LARGE_BYTES)).toEqual(2 * (NAMES.length - 1));
    expect(leader.status().commitIndex).toEqual(leader.status().lastIndex);
  });

  it('sends a small entry again at once', async () => {
    const { clock, network, leader } = await startGroup();
    network.setFaults({ ...NO_FAULTS, dropProbability: 1 });
    leader.propose(new Uint8Array(100)).catch(() => undefined);
    await clock.advanceAsync(100);
    network.setFaults(NO_FAULTS);
    await clock.advanceAsync(400);
    expect(leader.status().commitIndex).toEqual(leader.status().lastIndex);
  });
});
