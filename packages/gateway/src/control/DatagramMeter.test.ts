import { describe, it } from 'node:test';
import { VirtualClock } from '@marigoldbank/base/virtual-clock';
import { RecordingLogger } from '@marigoldbank/daemon/testing/RecordingLogger';
import { expect } from 'earl';
import { DatagramMeter } from './DatagramMeter.js';

describe('DatagramMeter', () => {
  // Questions of entries that a log process never read could not be told from those that it answered late.
  it('logs what was answered, and nothing while no entry asks', () => {
    const clock = new VirtualClock();
    const logger = new RecordingLogger();
    const meter = new DatagramMeter(clock, logger);
    meter.note('plan', 0.4);
    meter.note('plan', 0.8);
    meter.note('hubs', 0.1);
    clock.advance(5_000);
    meter.note('leadership', 120);
    clock.advance(5_000);
    meter.dispose();
    expect(logger.lines.map(({ context }) => context)).toEqual([
      { hubs: 1, plan: 2, leadership: 0, planMs: 1 },
    ]);
  });
});
