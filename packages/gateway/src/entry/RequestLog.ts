/** Log lines about single requests, bounded in their rate. */
import type { Clock } from '@marigoldbank/base/clock';
import type { LogContext, Logger } from '@marigoldbank/daemon/telemetry/Logger';
import { TokenBucket } from '@marigoldbank/routing/TokenBucket';
import { droppedLogLines } from '../metrics.js';

/** Lines a second that an entry writes at most; failures have an allowance of their own. */
const LINES_PER_SECOND = 20;

const BURST = 40;

export class RequestLog {
  private readonly served: TokenBucket;

  private readonly failed: TokenBucket;

  public constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {
    this.served = new TokenBucket(LINES_PER_SECOND, BURST, BURST, clock.now());
    this.failed = new TokenBucket(LINES_PER_SECOND, BURST, BURST, clock.now());
  }

  public write(isServed: boolean, context: LogContext): void {
    const allowance = isServed ? this.served : this.failed;
    if (!allowance.tryTake(this.clock.now())) {
      droppedLogLines.inc();
      return;
    }
    this.logger.info('request', context);
  }
}
