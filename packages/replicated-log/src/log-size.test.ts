import { describe, it } from 'node:test';
import { Random } from '@marigoldbank/base/random';
import { VirtualClock } from '@marigoldbank/base/virtual-clock';
import { expect } from 'earl';
import { openReplicatedLog, type ReplicatedLog } from './api.js';
import { FakeNetwork } from './FakeNetwork.js';
import { FakeTransport } from './FakeTransport.js';
import { MemoryDisk } from './MemoryDisk.js';
import { MemoryLogStorage } from './MemoryLogStorage.js';
import { StateMachine } from './StateMachine.js';
import { entryBytes } from './transferTime.js';

const ADDRESS = 'vm-0:1';
const MB = 1_000_000;

/** A quarter of the disk of a small control VM. */
const MAX_STORED_BYTES = 64 * MB;

/** Limits of control VMs. */
const TUNING = {
  snapshotEveryEntries: 400,
  snapshotEveryBytes: 4_194_304,
  retainedEntries: 100,
  retainedBytes: 4_194_304,
};

/** Keeps the last command, and counts those applied by this process. */
class LastCommand extends StateMachine {
  public last: Uint8Array = new Uint8Array();

  public applied = 0;

  public override apply(_index: number, data: Uint8Array): Uint8Array {
    this.last = data;
    this.applied += 1;
    return new Uint8Array();
  }

  public override snapshot(): Uint8Array {
    return this.last;
  }

  public override restore(snapshot: Uint8Array): void {
    this.last = snapshot;
  }
}

interface Member {
  readonly clock: VirtualClock;
  readonly disk: MemoryDisk;
  readonly open: (stateMachine: StateMachine) => Promise<ReplicatedLog>;
}

function makeMember(): Member {
  const clock = new VirtualClock();
  const random = new Random(1);
  const network = new FakeNetwork(clock, random);
  const disk = new MemoryDisk('vm-0');
  const open = async (stateMachine: StateMachine): Promise<ReplicatedLog> => {
    const opened = openReplicatedLog({
      vm: 'vm-0',
      address: ADDRESS,
      storage: new MemoryLogStorage(disk, clock, random.fork()),
      transport: new FakeTransport(network, ADDRESS),
      stateMachine,
      bootstrap: [{ vm: 'vm-0', incarnation: '', address: ADDRESS }],
      clock,
      random: random.fork(),
      tuning: TUNING,
    });
    await clock.advanceAsync(100);
    const log = await opened;
    await clock.advanceAsync(3_000);
    return log;
  };
  return { clock, disk, open };
}

async function change({ clock }: Member, log: ReplicatedLog, bytes: number): Promise<void> {
  const outcome = log.propose(new Uint8Array(bytes));
  await clock.advanceAsync(50);
  expect((await outcome).kind).toEqual('committed');
}

async function makeChanges(
  member: Member,
  log: ReplicatedLog,
  changes: number,
  bytes: number,
): Promise<number> {
  return Array.from({ length: changes }).reduce<Promise<number>>(async (earlier) => {
    const most = await earlier;
    await change(member, log, bytes);
    const { entries, snapshot } = member.disk;
    return Math.max(most, entryBytes(entries) + (snapshot?.data.length ?? 0));
  }, Promise.resolve(0));
}

describe('a log of large changes', () => {
  // Snapshots were taken by the number of entries: 305 changes of a large plan filled the disk, and fewer the memory.
  [500_000, 1_000_000].forEach((bytes) => {
    it(`stays below a quarter of a small disk: 400 changes of ${bytes} bytes`, async () => {
      const member = makeMember();
      const log = await member.open(new LastCommand());
      expect(await makeChanges(member, log, 400, bytes)).toBeLessThan(MAX_STORED_BYTES);
      const { entryBytes: kept, snapshotBytes } = log.size();
      expect(kept + snapshotBytes).toBeLessThan(MAX_STORED_BYTES);
    });
  });

  // A start applied every change since the snapshot before it took part in an election.
  it('takes a start no longer after many changes than after few', async () => {
    const countApplied = async (changes: number): Promise<number> => {
      const member = makeMember();
      const log = await member.open(new LastCommand());
      await makeChanges(member, log, changes, 500_000);
      const closed = log.close();
      await member.clock.advanceAsync(100);
      await closed;
      const stateMachine = new LastCommand();
      await member.open(stateMachine);
      expect(stateMachine.last.length).toEqual(500_000);
      return stateMachine.applied;
    };
    expect(await countApplied(300)).toBeLessThanOrEqual(10);
    expect(await countApplied(10)).toBeLessThanOrEqual(10);
  });
});

describe('a log of small changes', () => {
  it('keeps the entries that followers may lack', async () => {
    const member = makeMember();
    const log = await member.open(new LastCommand());
    await makeChanges(member, log, 500, 200);
    expect(log.size().entries).toBeGreaterThan(TUNING.retainedEntries);
  });
});
