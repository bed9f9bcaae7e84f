/** Detects event loop delay: a busy or suspended process, or a clock that stopped and then jumped ahead. */
import { setPeriodic, type Clock } from '@marigoldbank/base/clock';
import { DisposableStore } from '@marigoldbank/base/lifecycle';
import type { Logger } from '@marigoldbank/daemon/telemetry/Logger';
import { performance, type EventLoopUtilization } from 'node:perf_hooks';
import { loopDelaySeconds, loopUtilization } from './metrics.js';

const CHECK_MS = 100;

/** Shorter delays are not logged. Most responses of control VMs are due within less time than this. */
const LATE_THRESHOLD_MS = 250;

/** Minimum time between two log lines. */
const LOG_INTERVAL_MS = 1_000;

/**
 * Utilisation from which the loop counts as saturated. Each turn may still be short: messages then wait in the sockets,
 * where the delay of the loop does not show them.
 */
const SATURATED_UTILIZATION = 0.9;

const MS_PER_SECOND = 1_000;

export class EventLoopMonitor extends DisposableStore {
  private checkedAt: number;

  private loggedAt = -Infinity;

  private maxLateMs = 0;

  private measured: EventLoopUtilization;

  private isSaturated = false;

  public constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly measure: (since?: EventLoopUtilization) => EventLoopUtilization = (since) =>
      performance.eventLoopUtilization(since),
  ) {
    super();
    this.measured = measure();
    this.checkedAt = clock.now();
    this.add(setPeriodic(clock, () => this.check(), CHECK_MS));
    this.add(setPeriodic(clock, () => this.checkUtilization(), LOG_INTERVAL_MS));
  }

  /** Logs when the loop becomes saturated, and when it no longer is. */
  private checkUtilization(): void {
    const { utilization } = this.measure(this.measured);
    this.measured = this.measure();
    loopUtilization.set(utilization);
    const isSaturated = utilization >= SATURATED_UTILIZATION;
    if (isSaturated === this.isSaturated) return;
    this.isSaturated = isSaturated;
    const context = { utilization: Number(utilization.toFixed(2)) };
    if (isSaturated) this.logger.warn('event loop is saturated', context);
    else this.logger.info('event loop is no longer saturated', context);
  }

  private check(): void {
    const now = this.clock.now();
    const lateMs = Math.max(0, now - this.checkedAt - CHECK_MS);
    this.checkedAt = now;
    loopDelaySeconds.observe(lateMs / MS_PER_SECOND);
    this.maxLateMs = Math.max(this.maxLateMs, lateMs);
    if (this.maxLateMs < LATE_THRESHOLD_MS || now - this.loggedAt < LOG_INTERVAL_MS) return;
    this.logger.warn('event loop was late', { lateMs: Math.round(this.maxLateMs) });
    this.loggedAt = now;
    this.maxLateMs = 0;
  }
}
