/** Codes by which the system refuses a write for lack of space. */
const FULL_DISK_CODES: readonly unknown[] = ['ENOSPC', 'EDQUOT'];

/** A write was refused for lack of space. The storage holds what it held before, and the write may be repeated. */
export class FullDiskError extends Error {
  public constructor(cause: unknown) {
    super('the disk has no space left', { cause });
    this.name = 'FullDiskError';
  }
}

/** Returns a `FullDiskError` for an error of the system that says so, and other errors unchanged. */
export function asFullDiskError(err: unknown): unknown {
  const isFull = err instanceof Error && 'code' in err && FULL_DISK_CODES.includes(err.code);
  return isFull ? new FullDiskError(err) : err;
}
