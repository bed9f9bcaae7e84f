/** Guards against a log file that cannot be read after a write was refused in the middle for lack of space. */
import { mkdtemp, open, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { afterEach, beforeEach, describe, it, mock } from 'node:test';
import { expect } from 'earl';
import { FileLogStorage } from './FileLogStorage.js';
import { FullDiskError } from './FullDiskError.js';
import type { LogEntry } from './types.js';

let root = '';

beforeEach(async () => {
  root = await mkdtemp(path.join(tmpdir(), 'full-disk-'));
});

afterEach(async () => {
  mock.restoreAll();
  await rm(root, { recursive: true });
});

function createEntry(index: number, size: number): LogEntry {
  return { index, term: 1, kind: 'command', data: new Uint8Array(size).fill(index) };
}

/** Lets writes to files store the first bytes only and then refuse the rest, as when the disk becomes full. */
async function fillDisk(): Promise<() => void> {
  const handle = await open(path.join(root, 'probe'), 'w');
  const prototype = Object.getPrototypeOf(handle) as typeof handle;
  await handle.close();
  const original = prototype.write as (...args: unknown[]) => Promise<unknown>;
  let writes = 0;
  const mocked = mock.method(prototype, 'write', async function write(
    this: typeof handle,
    bytes: Uint8Array,
    offset: number,
    length: number,
    position: number,
  ) {
    writes += 1;
    if (writes % 2 === 1) {
      return original.call(this, bytes, offset, Math.min(length, 40), position);
    }
    throw Object.assign(new Error('no space left on device'), { code: 'ENOSPC' });
  } as typeof prototype.write);
  return () => mocked.mock.restore();
}

async function storedSizes(): Promise<number[]> {
  const storage = new FileLogStorage(path.join(root, 'data'));
  const { entries } = await storage.open();
  await storage.close();
  return entries.map(({ data }) => data.length);
}

describe('FileLogStorage on a full disk', () => {
  it('keeps what it holds, and stores a shorter batch in the place of the refused one', async () => {
    const storage = new FileLogStorage(path.join(root, 'data'));
    await storage.open();
    await storage.append([createEntry(1, 10)]);
    const makeSpace = await fillDisk();
    const refused = await storage.append([createEntry(2, 5_000)]).catch((err: unknown) => err);
    expect(refused instanceof FullDiskError).toEqual(true);
    makeSpace();
    await storage.append([createEntry(2, 3)]);
    await storage.close();
    expect(await storedSizes()).toEqual([10, 3]);
  });

  it('holds the earlier entries and the earlier vote after a restart', async () => {
    const storage = new FileLogStorage(path.join(root, 'data'));
    await storage.open();
    await storage.append([createEntry(1, 10)]);
    await storage.saveVote({ term: 3, votedFor: 'a' });
    const makeSpace = await fillDisk();
    await storage.append([createEntry(2, 5_000)]).catch(() => undefined);
    await storage.saveVote({ term: 4, votedFor: 'b'.repeat(100) }).catch(() => undefined);
    makeSpace();
    await storage.close();
    const reopened = new FileLogStorage(path.join(root, 'data'));
    const { vote, entries } = await reopened.open();
    await reopened.close();
    expect(vote).toEqual({ term: 3, votedFor: 'a' });
    expect(entries.length).toEqual(1);
  });
});
