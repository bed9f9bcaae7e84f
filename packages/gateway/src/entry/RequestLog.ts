/** Log lines about single requests, bounded in their rate. */
import type { Clock } from '@marigoldbank/base/clock';
import type { LogContext, Logger } from '@marigoldbank/daemon/telemetry/Logger';
import { droppedLogLines } from '../metrics.js';

/** Lines a second that an entry writes at most; failures have an allowance of their own. */
const LINES_PER_SECOND = 20;

const BURST = 40;

const MS_PER_SECOND = 1_000;

class LineAllowance {
  private level = BURST;

  private updatedAt: number;

  public constructor(now: number) {
    this.updatedAt = now;
  }

  public take(now: number): boolean {
    const gained = ((now - this.updatedAt) * LINES_PER_SECOND) / MS_PER_SECOND;
    this.level = Math.min(BURST, this.level + gained);
    this.updatedAt = now;
    if (this.level < 1) return false;
    this.level -= 1;
    return true;
  }
}

export class RequestLog {
  private readonly served: LineAllowance;

  private readonly failed: LineAllowance;

  public constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {
    this.served = new LineAllowance(clock.now());
    this.failed = new LineAllowance(clock.now());
  }

  public write(isServed: boolean, context: LogContext): void {
    const allowance = isServed ? this.served : this.failed;
    if (!allowance.take(this.clock.now())) {
      droppedLogLines.inc();
      return;
    }
    this.logger.info('request', context);
  }
}
