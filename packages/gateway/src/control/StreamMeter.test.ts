import { describe, it } from 'node:test';
import { expect } from 'earl';
import { crossStreamBytesTotal } from '../metrics.js';
import { StreamMeter, type StreamPeer } from './StreamMeter.js';

async function countedOf(peer: string, direction: string): Promise<number> {
  const { values } = await crossStreamBytesTotal.get();
  return (
    values.find(({ labels }) => labels.peer === peer && labels.direction === direction)?.value ?? 0
  );
}

describe('StreamMeter', () => {
  it('counts each byte to other data centres once, also of a process that says later what it is', async () => {
    const peers = new Map<string, StreamPeer>([['10.0.0.1', { kind: 'hub', dataCentre: 'dc-1' }]]);
    const meter = new StreamMeter('dc-1', (ip) => peers.get(ip));
    const near = { remoteAddress: '10.0.0.1', bytesRead: 50, bytesWritten: 60, destroyed: false };
    const far = { ...near, remoteAddress: '::ffff:10.0.0.2' };
    [near, far].forEach((socket) => meter.add(socket));
    meter.update();
    peers.set('10.0.0.2', { kind: 'hub', dataCentre: 'dc-2' });
    meter.update();
    Object.assign(far, { bytesWritten: 100, destroyed: true });
    [0, 1].forEach(() => meter.update());
    expect([await countedOf('hub', 'received'), await countedOf('hub', 'sent')]).toEqual([50, 100]);
  });
});
