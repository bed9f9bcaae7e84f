import { describe, it } from 'node:test';
import { fromBinary } from '@bufbuild/protobuf';
import { WireType } from '@bufbuild/protobuf/wire';
import { VirtualClock } from '@marigoldbank/base/virtual-clock';
import { EvidenceBatchSchema } from '@marigoldbank/protocol/gen/marigoldbank/v1/sync_pb';
import { expect } from 'earl';
import { Batcher } from './Batcher.js';
import { decodeEvidenceBatch, encodeEvidenceBatch } from './evidence-batch.js';
import { EvidenceBuffer } from './EvidenceBuffer.js';
import { MessageQueue } from './MessageQueue.js';

describe('Batcher', () => {
  it('flushes once for several changes, and earlier when one is urgent', () => {
    const clock = new VirtualClock();
    const flushes: number[] = [];
    const batcher = new Batcher(clock, () => flushes.push(clock.now()));
    batcher.request(200);
    batcher.request(500);
    clock.advance(50);
    batcher.request(1);
    clock.advance(1_000);
    expect(flushes).toEqual([51]);
    batcher.request(10);
    clock.advance(10);
    expect(flushes).toEqual([51, 1_060]);
  });
});

describe('Batcher with a minimum interval', () => {
  it('flushes at once when idle, and no more often than the interval', () => {
    const clock = new VirtualClock();
    const flushes: number[] = [];
    const batcher = new Batcher(clock, () => flushes.push(clock.now()), 40);
    clock.advance(100);
    Array.from({ length: 100 }).forEach(() => {
      batcher.request(1);
      clock.advance(1);
    });
    expect(flushes).toEqual([101, 141, 181]);
  });
});

describe('EvidenceBuffer', () => {
  it('sums outcomes and reads the requests in flight at the time of sending', () => {
    const buffer = new EvidenceBuffer();
    buffer.add('t1', 1, 0, 0);
    buffer.add('t1', 1, 2, 1);
    expect(buffer.take(() => 4)).toEqual([
      { id: 't1', succeeded: 2, failed: 2, suspect: 1, inFlight: 4 },
    ]);
    expect(buffer.isEmpty).toEqual(true);
  });
});

describe('evidence batch', () => {
  // Entries and hubs of different releases exchange batches, so the bytes must remain those of the schema.
  it('is decoded as the schema says, also with fields of a later release', () => {
    const items = [
      { ref: 1, entryRef: 0, succeeded: 2, failed: 0, suspect: 1, inFlight: 3 },
      { ref: 300, entryRef: 70_000, succeeded: 0, failed: 2 ** 32 - 1, suspect: 0, inFlight: 0 },
    ];
    const bytes = encodeEvidenceBatch(items);
    const laterField = Uint8Array.of(15 * 8 + WireType.LengthDelimited, 2, 7, 7);
    expect(decodeEvidenceBatch(bytes)).toEqual(items);
    expect(decodeEvidenceBatch(Buffer.concat([laterField, bytes]))).toEqual(items);
    expect(fromBinary(EvidenceBatchSchema, bytes).values).toHaveLength(12);
    expect(decodeEvidenceBatch(new Uint8Array())).toEqual([]);
    expect(() => decodeEvidenceBatch(bytes.subarray(0, bytes.length - 1))).toThrow();
  });
});

describe('MessageQueue', () => {
  it('delivers in order and ends after the pending messages', async () => {
    const queue = new MessageQueue<number>();
    [1, 2].forEach((message) => queue.push(message));
    queue.end();
    queue.push(3);
    const received: number[] = [];
    const iterator = queue[Symbol.asyncIterator]();
    for (let next = await iterator.next(); next.done !== true; next = await iterator.next()) {
      received.push(next.value);
    }
    expect(received).toEqual([1, 2]);
  });

  it('ends the stream if its reader falls too far behind', () => {
    const queue = new MessageQueue<number>();
    Array.from({ length: 3_000 }, (_, i) => i).forEach((message) => queue.push(message));
    expect(queue.isEnded).toEqual(true);
  });
});
