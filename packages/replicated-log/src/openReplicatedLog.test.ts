import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { describe, it } from 'node:test';
import { delay, SystemClock } from '@marigoldbank/base/clock';
import { Random } from '@marigoldbank/base/random';
import { expect } from 'earl';
import { FileLogStorage, openReplicatedLog, StateMachine, type ReplicatedLog } from './api.js';
import { FakeNetwork, FakeTransport, MemoryDisk, MemoryLogStorage } from './testing.js';

const clock = new SystemClock();

const VMS = ['a', 'b', 'c'];

/** Records all commands as text. */
class RecordingStateMachine extends StateMachine {
  public lines: string[] = [];

  public override apply(index: number, data: Uint8Array): Uint8Array {
    this.lines.push(Buffer.from(data).toString());
    return Buffer.from(`${index}`);
  }

  public override snapshot(): Uint8Array {
    return Buffer.from(JSON.stringify(this.lines));
  }

  public override restore(snapshot: Uint8Array): void {
    this.lines = JSON.parse(Buffer.from(snapshot).toString()) as string[];
  }
}

const SINGLE_MEMBER_OPTIONS = {
  vm: 'a',
  address: '10.0.0.1:a',
  bootstrap: [{ vm: 'a', incarnation: '', address: '10.0.0.1:a' }],
  transport: new FakeTransport(new FakeNetwork(clock, new Random(1)), '10.0.0.1:a'),
};

async function waitFor<T>(probe: () => T | undefined): Promise<T> {
  const deadline = clock.now() + 10_000;
  while (clock.now() < deadline) {
    const value = probe();
    if (value !== undefined) return value;
    await delay(clock, 10);
  }
  throw new Error('the condition did not come true in 10 s');
}

async function openGroup(
  folder: string,
): Promise<{ logs: ReplicatedLog[]; stateMachines: RecordingStateMachine[] }> {
  const network = new FakeNetwork(clock, new Random(1));
  const stateMachines = VMS.map(() => new RecordingStateMachine());
  const bootstrap = VMS.map((vm) => ({ vm, incarnation: '', address: `10.0.0.1:${vm}` }));
  const logs = await Promise.all(
    bootstrap.map(async ({ vm, address }, i) => {
      const storage = new FileLogStorage(path.join(folder, vm));
      const transport = new FakeTransport(network, address);
      const options = {
        vm,
        address,
        storage,
        transport,
        bootstrap,
        stateMachine: stateMachines[i]!,
      };
      const log = await openReplicatedLog(options);
      network.attach(address, log);
      return log;
    }),
  );
  return { logs, stateMachines };
}

const findLeader = (logs: readonly ReplicatedLog[]): ReplicatedLog | undefined =>
  logs.find((log) => log.status().role === 'leader');

describe('openReplicatedLog', () => {
  it('elects a leader, commits, and keeps all commands over a restart of all members', async () => {
    const folder = await mkdtemp(path.join(tmpdir(), 'replicated-log-'));
    const first = await openGroup(folder);
    const leader = await waitFor(() => findLeader(first.logs));
    const outcomes = await Promise.all(
      Array.from({ length: 50 }, (_, i) => leader.propose(Buffer.from(`line ${i}`))),
    );
    expect(outcomes.every(({ kind }) => kind === 'committed')).toEqual(true);
    expect((await leader.confirmRead()).kind).toEqual('confirmed');
    await Promise.all(first.logs.map((log) => log.close()));

    const second = await openGroup(folder);
    const next = await waitFor(() => findLeader(second.logs));
    expect((await next.confirmRead()).kind).toEqual('confirmed');
    await waitFor(
      () => second.stateMachines.every(({ lines }) => lines.length === 50) || undefined,
    );
    const expected = Array.from({ length: 50 }, (_, i) => `line ${i}`);
    second.stateMachines.forEach(({ lines }) => expect(lines).toEqual(expected));
    await Promise.all(second.logs.map((log) => log.close()));
    await rm(folder, { recursive: true });
  });
});

describe('a single member', () => {
  it('stops when its storage fails, and acknowledges nothing afterwards', async () => {
    const storage = new MemoryLogStorage(new MemoryDisk(), clock, new Random(1), 0);
    const log = await openReplicatedLog({
      ...SINGLE_MEMBER_OPTIONS,
      storage,
      stateMachine: new RecordingStateMachine(),
    });
    const failures: unknown[] = [];
    log.onFailure((err) => failures.push(err));
    await waitFor(() => findLeader([log]));
    expect((await log.propose(Buffer.from('kept'))).kind).toEqual('committed');
    storage.isFailing = true;
    expect((await log.propose(Buffer.from('lost'))).kind).toEqual('unknown');
    expect((await log.propose(Buffer.from('refused'))).kind).toEqual('notLeader');
    expect(failures.length).toEqual(1);
  });

  it('stops when its state machine throws, instead of skipping the command', async () => {
    const storage = new MemoryLogStorage(new MemoryDisk(), clock, new Random(1), 0);
    const stateMachine = new RecordingStateMachine();
    stateMachine.apply = () => {
      throw new Error('not deterministic');
    };
    const log = await openReplicatedLog({ ...SINGLE_MEMBER_OPTIONS, storage, stateMachine });
    await waitFor(() => findLeader([log]));
    expect((await log.propose(Buffer.from('a'))).kind).toEqual('unknown');
    expect((await log.propose(Buffer.from('b'))).kind).toEqual('notLeader');
  });

  it('batches concurrent proposals into few syncs', async () => {
    const storage = new MemoryLogStorage(new MemoryDisk(), clock, new Random(1), 0);
    const log = await openReplicatedLog({
      ...SINGLE_MEMBER_OPTIONS,
      storage,
      stateMachine: new RecordingStateMachine(),
    });
    await waitFor(() => findLeader([log]));
    await log.confirmRead();
    storage.appends = 0;
    await Promise.all(Array.from({ length: 100 }, (_, i) => log.propose(Buffer.from(`${i}`))));
    expect(storage.appends).toBeLessThan(10);
    await log.close();
  });
});
