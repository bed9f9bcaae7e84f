/** Durable state in one data folder. */
import { randomUUID } from 'node:crypto';
import { open, type FileHandle } from 'node:fs/promises';
import path from 'node:path';
import { entriesMatchingSnapshot } from './entriesMatchingSnapshot.js';
import { asFullDiskError } from './FullDiskError.js';
import { StorageError } from './StorageError.js';
import { createFolder, readFileIfExists, replaceFile, writeFully } from './files.js';
import { encodeFrame, scanFrames, type Frame } from './frames.js';
import { LogStorage } from './LogStorage.js';
import type { Identity, Snapshot, StoredState, VoteRecord } from './LogStorage.js';
import {
  decodeEntries,
  decodeIdentity,
  decodeSnapshot,
  decodeVote,
  encodeEntries,
  encodeIdentity,
  encodeSnapshot,
  encodeVote,
} from './records.js';
import type { LogEntry } from './types.js';

const INITIAL_VOTE: VoteRecord = { term: 0, votedFor: '' };

const EMPTY_FILE = new Uint8Array();

/**
 * Files of the folder: `identity`, `vote` and `snapshot` hold one frame each and are replaced as a whole; `log` holds
 * one frame for each synced batch of entries. A batch replaces all stored entries from its first index on, so the log
 * is never truncated in place. A snapshot rewrites the log.
 */
export class FileLogStorage extends LogStorage {
  private logHandle: FileHandle | undefined;

  private logEnd = 0;

  /** Whether a write to the log has failed, which may have left a part of it behind the end. */
  private hasRest = false;

  /** The folder is created if it does not exist. It must not be used by two processes at once. */
  public constructor(private readonly folder: string) {
    super();
  }

  public override async open(): Promise<StoredState> {
    await createFolder(this.folder);
    const identity = await this.readOrCreateIdentity();
    const vote = await this.readSingle('vote', decodeVote);
    if (vote === undefined) throw this.createMissingError('vote');
    const snapshot = await this.readSingle('snapshot', decodeSnapshot);
    const entries = await this.readLog(snapshot);
    return { identity, vote, snapshot, entries };
  }

  public override async saveIdentity(identity: Identity): Promise<void> {
    await this.replace('identity', encodeIdentity(identity));
  }

  public override async saveVote(vote: VoteRecord): Promise<void> {
    await this.replace('vote', encodeVote(vote));
  }

  public override async append(entries: readonly LogEntry[]): Promise<void> {
    const handle = this.logHandle!;
    const frame = encodeFrame(encodeEntries(entries));
    try {
      if (this.hasRest) await handle.truncate(this.logEnd);
      this.hasRest = true;
      await writeFully(handle, frame, this.logEnd);
      await handle.datasync();
    } catch (err) {
      throw asFullDiskError(err);
    }
    this.hasRest = false;
    this.logEnd += frame.length;
  }

  public override async saveSnapshot(
    snapshot: Snapshot,
    retained: readonly LogEntry[],
  ): Promise<void> {
    await this.replace('snapshot', encodeSnapshot(snapshot));
    try {
      await this.rewriteLog(retained);
    } catch (err) {
      throw asFullDiskError(err);
    }
  }

  public override async close(): Promise<void> {
    await this.logHandle?.close();
    this.logHandle = undefined;
  }

  private fileOf(name: string): string {
    return path.join(this.folder, name);
  }

  private async replace(name: string, payload: Uint8Array): Promise<void> {
    try {
      await replaceFile(this.fileOf(name), encodeFrame(payload));
    } catch (err) {
      throw asFullDiskError(err);
    }
  }

  /** The identity is written last, so a folder with an identity has all files. */
  private async readOrCreateIdentity(): Promise<Identity> {
    const known = await this.readSingle('identity', decodeIdentity);
    if (known !== undefined) return known;
    const vote = await this.readSingle('vote', decodeVote);
    const log = await readFileIfExists(this.fileOf('log'));
    const snapshot = await readFileIfExists(this.fileOf('snapshot'));
    const isUsed = (vote?.term ?? 0) > 0 || (log?.length ?? 0) > 0 || snapshot !== undefined;
    if (isUsed) throw this.createMissingError('identity');
    await this.saveVote(INITIAL_VOTE);
    await replaceFile(this.fileOf('log'), EMPTY_FILE);
    const identity: Identity = { incarnation: randomUUID(), founders: [], isFounded: false };
    await this.saveIdentity(identity);
    return identity;
  }

  private async readSingle<T>(
    name: string,
    decode: (payload: Uint8Array) => T,
  ): Promise<T | undefined> {
    const bytes = await readFileIfExists(this.fileOf(name));
    if (bytes === undefined) return undefined;
    const { frames, rest, end } = scanFrames(bytes);
    const [frame] = frames;
    if (frame === undefined || frames.length > 1 || rest !== 'none') {
      throw this.createDamageError(name, frames.length > 1 ? frames[1]!.offset : end);
    }
    return this.decodeFrame(name, frame, decode);
  }

  private async readLog(snapshot: Snapshot | undefined): Promise<readonly LogEntry[]> {
    const bytes = await readFileIfExists(this.fileOf('log'));
    if (bytes === undefined) throw this.createMissingError('log');
    const { frames, rest, end } = scanFrames(bytes);
    if (rest === 'damaged') throw this.createDamageError('log', end);
    const stored = this.joinBatches(frames, snapshot);
    const usable = entriesMatchingSnapshot(snapshot, stored);
    if (rest === 'none' && usable.length === stored.length) {
      await this.openLog(end);
    } else {
      await this.rewriteLog(usable);
    }
    return usable;
  }

  private joinBatches(frames: readonly Frame[], snapshot: Snapshot | undefined): LogEntry[] {
    const entries: LogEntry[] = [];
    frames.forEach((frame, i) => {
      const batch = this.decodeFrame('log', frame, decodeEntries);
      const foundIndex = batch[0]!.index;
      const firstIndex = entries[0]?.index ?? foundIndex;
      const expectedIndex = i === 0 ? (snapshot?.index ?? 0) + 1 : firstIndex + entries.length;
      if (foundIndex > expectedIndex || foundIndex < firstIndex) {
        const file = this.fileOf('log');
        throw new StorageError({ kind: 'missingEntries', file, expectedIndex, foundIndex });
      }
      entries.length = foundIndex - firstIndex;
      batch.forEach((entry) => entries.push(entry));
    });
    return entries;
  }

  private async rewriteLog(entries: readonly LogEntry[]): Promise<void> {
    const bytes = entries.length === 0 ? EMPTY_FILE : encodeFrame(encodeEntries(entries));
    await replaceFile(this.fileOf('log'), bytes);
    await this.openLog(bytes.length);
  }

  private async openLog(end: number): Promise<void> {
    await this.logHandle?.close();
    this.logHandle = await open(this.fileOf('log'), 'r+');
    this.logEnd = end;
    this.hasRest = false;
  }

  private decodeFrame<T>(name: string, frame: Frame, decode: (payload: Uint8Array) => T): T {
    try {
      return decode(frame.payload);
    } catch (err) {
      throw this.createDamageError(name, frame.offset, err);
    }
  }

  private createDamageError(name: string, offset: number, cause?: unknown): StorageError {
    const problem = { kind: 'damagedFile', file: this.fileOf(name), offset } as const;
    return new StorageError(problem, cause);
  }

  private createMissingError(name: string): StorageError {
    return new StorageError({ kind: 'missingFile', file: this.fileOf(name) });
  }
}
