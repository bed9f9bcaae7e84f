/** Connections of callers, as far as the event loop has accepted them. */
import type { Server } from 'node:http';
import type { Clock } from '@marigoldbank/base/clock';

/** Resolves after the event loop has polled its sockets. */
async function nextTurn(): Promise<void> {
  await new Promise(setImmediate);
  await new Promise(setImmediate);
}

export class ConnectionTracker {
  private accepted = 0;

  public constructor(
    private readonly server: Server,
    private readonly clock: Clock,
  ) {
    server.on('connection', () => {
      this.accepted += 1;
    });
  }

  /** Number of open connections. */
  public countOpen(): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.getConnections((err, count) => (err === null ? resolve(count) : reject(err)));
    });
  }

  /**
   * Resolves when no connection waits to be accepted, at the latest at `until` in monotonic ms. Those that wait when the
   * server closes are reset, and their callers cannot tell whether their requests were read.
   */
  public async acceptPending(until: number): Promise<void> {
    let count: number;
    do {
      count = this.accepted;
      await nextTurn();
      // Node.js accepts one connection in each turn of the event loop.
    } while (this.accepted > count && this.clock.now() < until);
  }
}
