/** Durable operations on files. */
import { mkdir, open, readFile, rename, type FileHandle } from 'node:fs/promises';
import path from 'node:path';

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

/** Replaces a file: after a crash it has the old content or the new one. */
export async function replaceFile(file: string, bytes: Uint8Array): Promise<void> {
  const temporary = `${file}.tmp`;
  const handle = await open(temporary, 'w');
  try {
    await writeFully(handle, bytes, 0);
    await handle.sync();
  } finally {
    await handle.close();
  }
  await rename(temporary, file);
  await syncDirectory(path.dirname(file));
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
