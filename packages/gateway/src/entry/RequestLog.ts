/** Request log with a limited rate. */
import type { Clock } from '@marigoldbank/base/clock';
import type { LogContext, Logger } from '@marigoldbank/daemon/telemetry/Logger';
import { TokenBucket } from '@marigoldbank/routing/TokenBucket';
import { droppedLogLines } from '../metrics.js';

/** Maximum log lines per second. Successes and failures have separate limits. */
const LINES_PER_SECOND = 20;

const BURST = 40;

export class RequestLog {
  private readonly successes: TokenBucket;

  private readonly failures: TokenBucket;

  public constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {
    this.successes = new TokenBucket(LINES_PER_SECOND, BURST, BURST, clock.now());
    this.failures = new TokenBucket(LINES_PER_SECOND, BURST, BURST, clock.now());
  }

  public write(isSuccess: boolean, context: LogContext): void {
    const bucket = isSuccess ? this.successes : this.failures;
    if (!bucket.tryTake(this.clock.now())) {
      droppedLogLines.inc();
      return;
    }
    this.logger.info('request', context);
  }
}
