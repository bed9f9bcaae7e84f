import { describe, it } from 'node:test';
import type { Clock } from '@marigoldbank/base/clock';
import { VirtualClock } from '@marigoldbank/base/virtual-clock';
import { NullLogger } from '@marigoldbank/daemon/telemetry/NullLogger';
import { expect } from 'earl';
import { EventLoopMonitor } from './EventLoopMonitor.js';

/** The clock can be moved ahead of its timers, as happens in a process that was blocked. */
function makeMonitor(utilizations: readonly number[] = []): {
  clock: VirtualClock;
  stall: (ms: number) => void;
  lines: unknown[];
} {
  const clock = new VirtualClock();
  let aheadMs = 0;
  const stalled: Clock = {
    now: () => clock.now() + aheadMs,
    setTimeout: (callback, ms) => clock.setTimeout(callback, ms),
  };
  const lines: unknown[] = [];
  const logger = new NullLogger();
  logger.warn = (_message, context) => lines.push(context);
  const remaining = [...utilizations];
  const monitor = new EventLoopMonitor(stalled, logger, (since) => ({
    idle: 0,
    active: 0,
    utilization: since === undefined ? 0 : (remaining.shift() ?? 0),
  }));
  expect(monitor.isDisposed).toEqual(false);
  return {
    clock,
    stall: (ms) => {
      aheadMs += ms;
    },
    lines,
  };
}

describe('EventLoopMonitor', () => {
  it('logs nothing while timers fire on time', () => {
    const { clock, lines } = makeMonitor();
    clock.advance(5_000);
    expect(lines).toEqual([]);
  });

  it('logs once that the loop is saturated, although no turn of it is long', () => {
    const { clock, lines } = makeMonitor([0.5, 0.97, 0.99, 0.4]);
    clock.advance(5_000);
    expect(lines).toEqual([{ utilization: 0.97 }]);
  });

  it('logs the longest delay, at most once a second', () => {
    const { clock, stall, lines } = makeMonitor();
    clock.advance(1_000);
    [300, 400, 350].forEach((ms) => {
      stall(ms);
      clock.advance(100);
    });
    clock.advance(2_000);
    expect(lines).toEqual([{ lateMs: 300 }, { lateMs: 400 }]);
  });
});
