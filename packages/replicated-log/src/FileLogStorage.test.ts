import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { FileLogStorage } from './FileLogStorage.js';
import { encodeFrame } from './frames.js';
import { encodeEntries } from './records.js';
import { StorageError } from './StorageError.js';
import type { StoredState } from './LogStorage.js';
import type { LogEntry } from './types.js';

/** Bound on the time of a restart after 1,000 changes, docs/design.md section 1. */
const RESTART_LIMIT_MS = 2_000;

let root = '';

beforeEach(async () => {
  root = await mkdtemp(path.join(tmpdir(), 'file-log-storage-'));
});

afterEach(() => rm(root, { recursive: true }));

function createEntry(index: number, term: number, text = `command ${index}/${term}`): LogEntry {
  return { index, term, kind: 'command', data: new Uint8Array(Buffer.from(text)) };
}

const summarise = (entries: readonly LogEntry[]): string[] =>
  entries.map(({ index, term, kind, data }) => `${index} ${term} ${kind} ${String(data)}`);

async function reopen(folder: string): Promise<StoredState> {
  const storage = new FileLogStorage(folder);
  const state = await storage.open();
  await storage.close();
  return state;
}

async function tryReopen(folder: string): Promise<StoredState | StorageError> {
  return reopen(folder).catch((err: unknown) => {
    if (err instanceof StorageError) return err;
    throw err;
  });
}

/** Writes batches; returns the log file and, after each acknowledged batch, its end offset and the entries stored. */
async function writeBatches(
  folder: string,
  batches: readonly (readonly LogEntry[])[],
): Promise<{ bytes: Buffer; states: { end: number; entries: string[] }[] }> {
  const storage = new FileLogStorage(folder);
  await storage.open();
  const log = path.join(folder, 'log');
  const states = [{ end: 0, entries: [] as string[] }];
  let entries: LogEntry[] = [];
  for (let i = 0; i < batches.length; i += 1) {
    const batch = batches[i]!;
    await storage.append(batch);
    entries = [...entries.filter(({ index }) => index < batch[0]!.index), ...batch];
    states.push({ end: (await readFile(log)).length, entries: summarise(entries) });
  }
  await storage.close();
  return { bytes: await readFile(log), states };
}

const BATCHES = [
  [createEntry(1, 1), createEntry(2, 1)],
  [createEntry(3, 1)],
  // A new leader replaces entry 3.
  [createEntry(3, 2), createEntry(4, 2, '')],
  [createEntry(5, 2)],
];

describe('FileLogStorage', () => {
  it('keeps identity, vote, entries and snapshot over a restart', async () => {
    const first = new FileLogStorage(root);
    const { identity } = await first.open();
    await first.saveVote({ term: 7, votedFor: 'vm-1/x' });
    await first.append([1, 2, 3, 4].map((index) => createEntry(index, 1)));
    const voter = { vm: 'vm-1', incarnation: 'x', address: '127.0.0.1:1' };
    const membership = { voters: [voter], learners: [] };
    const snapshot = { index: 3, term: 1, membership, data: new Uint8Array([1, 2]) };
    await first.saveSnapshot(snapshot, [createEntry(3, 1), createEntry(4, 1)]);
    await first.append([createEntry(5, 7)]);
    await first.close();
    const state = await reopen(root);
    expect(state.identity).toEqual(identity);
    expect(state.vote).toEqual({ term: 7, votedFor: 'vm-1/x' });
    expect(state.snapshot?.membership).toEqual(membership);
    expect([...state.snapshot!.data]).toEqual([1, 2]);
    const expected = [createEntry(3, 1), createEntry(4, 1), createEntry(5, 7)];
    expect(summarise(state.entries)).toEqual(summarise(expected));
  });

  it('drops entries of a diverging log after a crash between saving a snapshot and rewriting the log', async () => {
    const storage = new FileLogStorage(root);
    await storage.open();
    await storage.append([createEntry(1, 1), createEntry(2, 1)]);
    const stale = await readFile(path.join(root, 'log'));
    const membership = { voters: [], learners: [] };
    await storage.saveSnapshot({ index: 2, term: 3, membership, data: new Uint8Array() }, []);
    await storage.close();
    await writeFile(path.join(root, 'log'), stale);
    const reopened = new FileLogStorage(root);
    expect((await reopened.open()).entries).toEqual([]);
    await reopened.append([createEntry(3, 3)]);
    await reopened.close();
    expect((await reopen(root)).entries.length).toEqual(1);
  });

  it('gives a wiped folder a new incarnation and rejects a folder with a missing file', async () => {
    const { identity } = await reopen(path.join(root, 'a'));
    await rm(path.join(root, 'a'), { recursive: true });
    const again = await reopen(path.join(root, 'a'));
    expect(again.identity.incarnation === identity.incarnation).toEqual(false);
    await rm(path.join(root, 'a', 'vote'));
    await expect(reopen(path.join(root, 'a'))).toBeRejectedWith(StorageError, /vote is missing/);
  });

  it('recovers every acknowledged batch before a truncation at any byte', async () => {
    const { bytes, states } = await writeBatches(root, BATCHES);
    for (let cut = 0; cut <= bytes.length; cut += 1) {
      await writeFile(path.join(root, 'log'), bytes.subarray(0, cut));
      const state = await reopen(root);
      const expected = states.findLast(({ end }) => end <= cut)!;
      expect(summarise(state.entries)).toEqual(expected.entries);
      expect((await readFile(path.join(root, 'log'))).length <= cut + 1).toEqual(true);
    }
  });

  it('rejects a corrupt byte anywhere in the log and reports the file and the offset of the record', async () => {
    const { bytes, states } = await writeBatches(root, BATCHES);
    for (let at = 0; at < bytes.length; at += 1) {
      const flipped = Buffer.from(bytes);
      flipped[at] = 255 - flipped[at]!;
      await writeFile(path.join(root, 'log'), flipped);
      const result = await tryReopen(root);
      const record = states.findLast(({ end }) => end <= at)!.end;
      const file = path.join(root, 'log');
      const problem = result instanceof StorageError ? result.problem : undefined;
      expect(problem).toEqual({ kind: 'damagedFile', file, offset: record });
    }
  });

  it('rejects a corrupt byte anywhere in the vote, the identity and the snapshot', async () => {
    const storage = new FileLogStorage(root);
    await storage.open();
    const membership = { voters: [], learners: [] };
    const data = new Uint8Array(20);
    await storage.saveSnapshot({ index: 2, term: 3, membership, data }, []);
    await storage.close();
    const names = ['vote', 'identity', 'snapshot'];
    for (let i = 0; i < names.length; i += 1) {
      const name = names[i]!;
      const file = path.join(root, name);
      const bytes = await readFile(file);
      for (let at = 0; at < bytes.length; at += 1) {
        const flipped = Buffer.from(bytes);
        flipped[at] = 255 - flipped[at]!;
        await writeFile(file, flipped);
        const result = await tryReopen(root);
        expect(result instanceof StorageError && result.kind).toEqual('damagedFile');
      }
      await writeFile(file, bytes);
    }
  });

  it('never returns a wrong entry after truncation, corrupt bytes or zeroed ranges in random batches', async () => {
    const batch = fc.record({ size: fc.integer({ min: 1, max: 5 }), back: fc.nat({ max: 3 }) });
    const damage = fc.record({
      kind: fc.constantFrom('cut', 'flip', 'zero'),
      at: fc.double({ min: 0, max: 1, noNaN: true }),
      length: fc.integer({ min: 1, max: 1200 }),
    });
    let run = 0;
    const property = fc.asyncProperty(fc.array(batch, { minLength: 1 }), damage, async (b, d) => {
      run += 1;
      let last = 0;
      const batches = b.map(({ size, back }, i) => {
        const from = Math.max(1, last + 1 - back);
        last = from + size - 1;
        const text = 'x'.repeat((i * 97) % 700);
        return Array.from({ length: size }, (_, j) => createEntry(from + j, i + 1, text));
      });
      const folder = path.join(root, `${run}`);
      const { bytes, states } = await writeBatches(folder, batches);
      const at = Math.min(bytes.length - 1, Math.floor(d.at * bytes.length));
      const changed = Buffer.from(d.kind === 'cut' ? bytes.subarray(0, at) : bytes);
      if (d.kind === 'flip') changed[at] = (changed[at]! + 1 + (d.length % 255)) % 256;
      if (d.kind === 'zero') changed.fill(0, at, Math.min(changed.length, at + d.length));
      await writeFile(path.join(folder, 'log'), changed);
      const result = await tryReopen(folder);
      if (result instanceof StorageError) {
        expect(d.kind === 'cut').toEqual(false);
        return;
      }
      const intact = states.findLast(({ end }) => end <= at)!;
      const allowed = changed.equals(bytes) ? states.at(-1)! : intact;
      expect(summarise(result.entries)).toEqual(allowed.entries);
      // Only the last write can be torn: damage that a good batch follows is never dropped silently.
      const isFollowed = d.kind === 'zero' && at + d.length <= states.at(-2)!.end;
      if (isFollowed) expect(changed.equals(bytes)).toEqual(true);
    });
    await fc.assert(property, { numRuns: 150, seed: 11, includeErrorInReport: true });
  });

  it('opens 1,000 changes within the bound for a restart', async () => {
    await reopen(root);
    const frames = Array.from({ length: 1_000 }, (_, i) =>
      encodeFrame(encodeEntries([createEntry(i + 1, 1, 'c'.repeat(300))])),
    );
    await writeFile(path.join(root, 'log'), Buffer.concat(frames));
    const startedAt = performance.now();
    expect((await reopen(root)).entries.length).toEqual(1_000);
    expect(performance.now() - startedAt).toBeLessThan(RESTART_LIMIT_MS);
  });
});
