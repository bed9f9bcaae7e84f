/** Detects event loop delay: a busy or suspended process, or a clock that stopped and then jumped ahead. */
import { setPeriodic, type Clock } from '@marigoldbank/base/clock';
import { DisposableStore } from '@marigoldbank/base/lifecycle';
import type { Logger } from '@marigoldbank/daemon/telemetry/Logger';
import { loopDelaySeconds } from './metrics.js';

const CHECK_MS = 100;

/** Shorter delays are not logged. Most responses of control VMs are due within less time than this. */
const LATE_THRESHOLD_MS = 250;

/** Minimum time between two log lines. */
const LOG_INTERVAL_MS = 1_000;

const MS_PER_SECOND = 1_000;

export class EventLoopMonitor extends DisposableStore {
  private checkedAt: number;

  private loggedAt = -Infinity;

  private maxLateMs = 0;

  public constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {
    super();
    this.checkedAt = clock.now();
    this.add(setPeriodic(clock, () => this.check(), CHECK_MS));
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
