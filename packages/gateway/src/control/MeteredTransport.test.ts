import { describe, it } from 'node:test';
import { expect } from 'earl';
import { VirtualClock } from '@marigoldbank/base/virtual-clock';
import { Logger, type LogContext, type LogLevel } from '@marigoldbank/daemon/telemetry/Logger';
import type {
  AppendEntriesRequest,
  ConsensusTransport,
  Member,
} from '@marigoldbank/replicated-log';
import { MeteredTransport } from './MeteredTransport.js';

const MEMBER: Member = { vm: '10.0.0.2', incarnation: 'a', address: '10.0.0.2:7600' };

class LineLogger extends Logger {
  public readonly lines: LogContext[] = [];

  public override isEnabled(): boolean {
    return true;
  }

  public override log(_level: LogLevel, message: string, context: LogContext = {}): void {
    this.lines.push({ message, ...context });
  }

  public override child(): Logger {
    return this;
  }
}

describe('MeteredTransport', () => {
  // Calls of a leader to members that are cut off could not be told from those of one with much to do.
  it('logs how many calls were sent, failed and are open', async () => {
    const clock = new VirtualClock();
    const logger = new LineLogger();
    const answers = [Promise.resolve(), Promise.reject(new Error('reset')), new Promise(() => {})];
    const inner = { appendEntries: () => answers.shift() } as unknown as ConsensusTransport;
    const transport = new MeteredTransport(inner, logger, clock);
    const req = {} as AppendEntriesRequest;
    await transport.appendEntries(MEMBER, req);
    await expect(transport.appendEntries(MEMBER, req)).toBeRejectedWith('reset');
    transport.appendEntries(MEMBER, req).catch(() => undefined);
    await clock.advanceAsync(5_000);
    transport.dispose();
    expect(
      logger.lines.map(({ message, sent, failed, open }) => [message, sent, failed, open]),
    ).toEqual([['calls to other log processes', 3, 1, 1]]);
  });
});
