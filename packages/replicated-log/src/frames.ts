/** Frames: records with length and checksums, of which every file consists. */
import { crc32 } from 'node:zlib';

const MAGIC = 0x314c424d;

/** Magic number, payload length, checksum of the payload, checksum of these three. */
const HEADER_BYTES = 16;

/** Last byte of a frame. It is not zero, so that a frame whose last bytes were never written cannot look complete. */
const END_MARK = 0xa5;

/** Disks write whole sectors: after a torn write each sector has its old or its new content, never a mixture. */
const SECTOR_BYTES = 512;

/** A payload with the offset of its frame. */
export interface Frame {
  readonly offset: number;
  readonly payload: Uint8Array;
}

/** Frames of a file up to its end, or up to the first place that is not a frame. */
export interface FrameScan {
  readonly frames: readonly Frame[];
  /** Offset after the last good frame. */
  readonly end: number;
  /** What follows the last good frame: nothing, an incomplete last write, or damage. */
  readonly rest: 'none' | 'torn' | 'damaged';
}

type FrameRead =
  | { readonly kind: 'frame'; readonly payload: Buffer; readonly end: number }
  | { readonly kind: 'short' }
  | { readonly kind: 'bad' };

/** Encodes a payload as a frame. */
export function encodeFrame(payload: Uint8Array): Buffer {
  const frame = Buffer.alloc(HEADER_BYTES + payload.length + 1);
  frame.writeUInt32LE(MAGIC, 0);
  frame.writeUInt32LE(payload.length, 4);
  frame.writeUInt32LE(crc32(payload), 8);
  frame.writeUInt32LE(crc32(frame.subarray(0, 12)), 12);
  frame.set(payload, HEADER_BYTES);
  frame[frame.length - 1] = END_MARK;
  return frame;
}

function readFrame(file: Buffer, offset: number): FrameRead {
  if (file.length - offset < HEADER_BYTES) return { kind: 'short' };
  const isHeaderGood =
    file.readUInt32LE(offset) === MAGIC &&
    file.readUInt32LE(offset + 12) === crc32(file.subarray(offset, offset + 12));
  if (!isHeaderGood) return { kind: 'bad' };
  const start = offset + HEADER_BYTES;
  const markAt = start + file.readUInt32LE(offset + 4);
  if (markAt >= file.length) return { kind: 'short' };
  const payload = file.subarray(start, markAt);
  const isGood = file[markAt] === END_MARK && crc32(payload) === file.readUInt32LE(offset + 8);
  return isGood ? { kind: 'frame', payload, end: markAt + 1 } : { kind: 'bad' };
}

/** Whether some sector after `offset` holds only zeros, as a sector does that was never written. */
function hasUnwrittenSector(file: Buffer, offset: number): boolean {
  let start = offset;
  while (start < file.length) {
    const end = Math.min(file.length, (Math.floor(start / SECTOR_BYTES) + 1) * SECTOR_BYTES);
    if (file.subarray(start, end).every((byte) => byte === 0)) return true;
    start = end;
  }
  return false;
}

/** Whether a good frame begins anywhere after `offset`. */
function hasLaterFrame(file: Buffer, offset: number): boolean {
  const magic = Buffer.alloc(4);
  magic.writeUInt32LE(MAGIC);
  let at = file.indexOf(magic, offset + 1);
  while (at !== -1) {
    if (readFrame(file, at).kind === 'frame') return true;
    at = file.indexOf(magic, at + 1);
  }
  return false;
}

/**
 * Only the last write can be incomplete, since each write is synced before the next one starts. It counts as torn if
 * the file ends early or a sector was never written. Anything else is damage: a wrong byte in a frame that may have
 * been acknowledged must not be treated as a torn write.
 */
function classifyRest(file: Buffer, offset: number, isShort: boolean): FrameScan['rest'] {
  if (offset === file.length) return 'none';
  if (hasLaterFrame(file, offset)) return 'damaged';
  return isShort || hasUnwrittenSector(file, offset) ? 'torn' : 'damaged';
}

/** Reads the frames of a file. */
export function scanFrames(file: Buffer): FrameScan {
  const frames: Frame[] = [];
  let end = 0;
  let read = readFrame(file, end);
  while (read.kind === 'frame') {
    frames.push({ offset: end, payload: read.payload });
    end = read.end;
    read = readFrame(file, end);
  }
  return { frames, end, rest: classifyRest(file, end, read.kind === 'short') };
}
