/** Durable operations on files. */
import fs from 'node:fs';
import { mkdir, open, readFile, type FileHandle } from 'node:fs/promises';
import path from 'node:path';
import { promisify } from 'node:util';

/** Syncs a directory, so that created and renamed files in it survive a crash. */
export async function syncDirectory(folder: string): Promise<void> {
  const handle = await open(folder, 'r');
  try {
    await handle.sync();
  } finally {
    await handle.close();
  }
}

/** Creates a folder with its parents and syncs the directory that holds it. */
export async function createFolder(folder: string): Promise<void> {
  await mkdir(folder, { recursive: true });
  await syncDirectory(path.dirname(path.resolve(folder)));
}

/** Writes all bytes at an offset. */
export async function writeFully(
  handle: FileHandle,
  bytes: Uint8Array,
  offset: number,
): Promise<void> {
  let written = 0;
  while (written < bytes.length) {
    const left = bytes.length - written;
    const { bytesWritten } = await handle.write(bytes, written, left, offset + written);
    written += bytesWritten;
  }
}

const sync = promisify(fs.fsync);

/** Calls `work` with a file descriptor, which is closed afterwards. */
async function withFile(
  file: string,
  flags: string,
  work: (fd: number) => Promise<void>,
): Promise<void> {
  const fd = fs.openSync(file, flags);
  try {
    await work(fd);
  } finally {
    fs.closeSync(fd);
  }
}

function writeAll(fd: number, bytes: Uint8Array): void {
  let written = 0;
  while (written < bytes.length) written += fs.writeSync(fd, bytes, written);
}

/**
 * Replaces a file: after a crash it has the old content or the new one. Only the syncs, which wait for the disk, leave the
 * event loop. Each step that does takes a turn of it, and a vote on a VM whose processes are starting waited for eight.
 */
export async function replaceFile(file: string, bytes: Uint8Array): Promise<void> {
  const temporary = `${file}.tmp`;
  await withFile(temporary, 'w', (fd) => {
    writeAll(fd, bytes);
    return sync(fd);
  });
  fs.renameSync(temporary, file);
  await withFile(path.dirname(file), 'r', (fd) => sync(fd));
}

/** Reads a file; undefined if it does not exist. */
export async function readFileIfExists(file: string): Promise<Buffer | undefined> {
  try {
    return await readFile(file);
  } catch (err) {
    if (err instanceof Error && 'code' in err && err.code === 'ENOENT') return undefined;
    throw err;
  }
}
