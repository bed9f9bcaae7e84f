import { describe, it } from 'node:test';
import { expect } from 'earl';
import { delay } from '@marigoldbank/base/clock';
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

function makeAppend(lastIndex: number, bytes: number): AppendEntriesRequest {
  const data = new Uint8Array(bytes);
  const entries =
    bytes === 0 ? [] : [{ index: lastIndex, term: 1, kind: 'command' as const, data }];
  return { term: 1, entries } as unknown as AppendEntriesRequest;
}

describe('MeteredTransport', () => {
  // Calls of a leader to members that are cut off could not be told from those of one with much to do.
  it('logs how many calls were sent, failed and are open', async () => {
    const clock = new VirtualClock();
    const logger = new LineLogger();
    const answers = [Promise.resolve(), Promise.reject(new Error('reset')), new Promise(() => {})];
    const inner = { appendEntries: () => answers.shift() } as unknown as ConsensusTransport;
    const transport = new MeteredTransport(inner, logger, clock);
    const req = makeAppend(1, 0);
    await transport.appendEntries(MEMBER, req);
    await expect(transport.appendEntries(MEMBER, req)).toBeRejectedWith('reset');
    transport.appendEntries(MEMBER, req).catch(() => undefined);
    await clock.advanceAsync(5_000);
    transport.dispose();
    expect(
      logger.lines.map(({ message, sent, failed, open }) => [message, sent, failed, open]),
    ).toEqual([['calls to other log processes', 3, 1, 1]]);
  });

  // A leader that sends large entries again before they are answered could not be told from one with many changes.
  it('logs the bytes of entries, those that are sent again, and the slowest call', async () => {
    const clock = new VirtualClock();
    const logger = new LineLogger();
    const appendEntries = (): Promise<void> => delay(clock, 300);
    const inner = { appendEntries } as unknown as ConsensusTransport;
    const transport = new MeteredTransport(inner, logger, clock);
    [makeAppend(1, 1_000), makeAppend(1, 1_000), makeAppend(2, 10), makeAppend(2, 0)].forEach(
      (req) => {
        transport.appendEntries(MEMBER, req).catch(() => undefined);
      },
    );
    await clock.advanceAsync(5_000);
    transport.dispose();
    expect(
      logger.lines.map(({ appendBytes, repeatedBytes, slowestMs }) => [
        appendBytes,
        repeatedBytes,
        slowestMs,
      ]),
    ).toEqual([[2_010, 1_000, 300]]);
  });
});
