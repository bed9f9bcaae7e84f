import { describe, it } from 'node:test';
import { expect } from 'earl';
import { ByteCollector } from './ByteCollector.js';

const SIZE = 262_144;

/** Bytes of the memory that buffers keep alive, which may be larger than the buffers. */
function heldBytes(blocks: readonly Buffer[]): number {
  return [...new Set(blocks.map(({ buffer }) => buffer))].reduce(
    (sum, { byteLength }) => sum + byteLength,
    0,
  );
}

describe('ByteCollector', () => {
  it('returns the bytes in order and starts anew', () => {
    const collector = new ByteCollector();
    ['ab', '', 'c', 'd'.repeat(100_000), 'e'].forEach((text) => collector.add(Buffer.from(text)));
    expect(collector.size).toEqual(100_004);
    expect(Buffer.concat(collector.take()).toString()).toEqual(`abc${'d'.repeat(100_000)}e`);
    expect([collector.size, collector.take()]).toEqual([0, []]);
  });

  // Each piece kept the whole read of 64 KB alive, and an object of its own.
  it('holds little more memory than the bytes of pieces of one byte', () => {
    const read = Buffer.alloc(65_536, 'x');
    const collector = new ByteCollector();
    for (let i = 0; i < SIZE; i += 1) collector.add(read.subarray(i % 1_000, (i % 1_000) + 1));
    const blocks = collector.take();
    expect(blocks.length).toBeLessThan(20);
    expect(heldBytes(blocks)).toBeLessThanOrEqual(2 * SIZE);
  });

  it('holds little memory for a small body', () => {
    const collector = new ByteCollector();
    collector.add(Buffer.from('small'));
    expect(heldBytes(collector.take())).toBeLessThanOrEqual(1_024);
  });
});
