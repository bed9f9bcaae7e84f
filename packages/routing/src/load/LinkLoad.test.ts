/**
 * Guards against accepting uploads that the link of an entry cannot carry in time: at 2.5 Mbit/s bodies of 60 to 360 kB take
 * 0.2 to 1.2 s in each direction.
 */
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { LinkLoad } from './LinkLoad.js';

const BYTES_PER_SECOND = 312_500;
const LARGE = 360_000;
const LARGE_MS = 1_152;

describe('LinkLoad', () => {
  it('needs the time of the body alone on a free link', () => {
    expect(new LinkLoad(BYTES_PER_SECOND).transferMs(LARGE, 0)).toEqual(LARGE_MS);
  });

  it('queues a body behind those that come in, as far as they have not', () => {
    const load = new LinkLoad(BYTES_PER_SECOND);
    load.begin(LARGE, () => 0);
    expect(load.transferMs(LARGE, 0)).toEqual(2 * LARGE_MS);
    expect(load.receiveWaitMs).toEqual(LARGE_MS);
  });

  it('counts received bytes until the link has had the time to send them', () => {
    const load = new LinkLoad(BYTES_PER_SECOND);
    load.begin(LARGE, () => 1_000).received(LARGE);
    expect(load.transferMs(LARGE, 1_000)).toEqual(2 * LARGE_MS);
    expect(load.transferMs(LARGE, 1_000 + LARGE_MS)).toEqual(LARGE_MS);
  });

  it('forgets what a caller that has left did not send', () => {
    const load = new LinkLoad(BYTES_PER_SECOND);
    const transfer = load.begin(LARGE, () => 0);
    transfer.received(LARGE / 2);
    transfer.dispose();
    expect(load.receiveWaitMs).toEqual(0);
  });
});
