import { describe, it } from 'node:test';
import { expect } from 'earl';
import { delay } from '@marigoldbank/base/clock';
import { VirtualClock } from '@marigoldbank/base/virtual-clock';
import { CallTrace } from './CallTrace.js';

describe('CallTrace', () => {
  it('adds up the durations of each part, also of one that fails', async () => {
    const clock = new VirtualClock();
    const trace = new CallTrace(clock);
    const failing = async (): Promise<never> => {
      await delay(clock, 30);
      throw new Error('no leader');
    };
    const work = (async () => {
      await trace.measure('confirm', () => delay(clock, 20));
      await expect(trace.measure('confirm', failing)).toBeRejectedWith('no leader');
      await trace.measure('commit', () => delay(clock, 5));
    })();
    await clock.advanceAsync(100);
    await work;
    expect(trace.fields()).toEqual({ confirmMs: 50, commitMs: 5, tookMs: 100 });
  });
});
