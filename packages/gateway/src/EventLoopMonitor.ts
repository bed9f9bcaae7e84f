/** Notices turns of the event loop that come late: a busy or frozen process, or a clock that stood still. */
import { setPeriodic, type Clock } from '@marigoldbank/base/clock';
import { DisposableStore } from '@marigoldbank/base/lifecycle';
import type { Logger } from '@marigoldbank/daemon/telemetry/Logger';
import { loopDelaySeconds } from './metrics.js';

const CHECK_MS = 100;

/** Delays above this are longer than most answers of control VMs may take. */
const LATE_MS = 250;

/** At most one line in this time. */
const LOG_INTERVAL_MS = 1_000;

const MS_PER_SECOND = 1_000;

export class EventLoopMonitor extends DisposableStore {
  private checkedAt: number;

  private loggedAt = -Infinity;

  private mostMs = 0;

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
    this.mostMs = Math.max(this.mostMs, lateMs);
    if (this.mostMs < LATE_MS || now - this.loggedAt < LOG_INTERVAL_MS) return;
    this.logger.warn('event loop was late', { lateMs: Math.round(this.mostMs) });
    this.loggedAt = now;
    this.mostMs = 0;
  }
}
