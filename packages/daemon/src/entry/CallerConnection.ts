/** State of one connection of a caller. */
import type { Duplex } from 'node:stream';
import { Emitter } from '@marigoldbank/base/events';
import { answerBrokenRequest } from './brokenRequests.js';

/** Counts the requests in progress, so that nothing but their answers is written while they run. */
export class CallerConnection {
  private readonly breakEmitter = new Emitter<void>();

  /** Bytes came that are no request: a body that is still being received will not end. */
  public readonly onDidFail = this.breakEmitter.event;

  private running = 0;

  private hasClosed = false;

  public constructor(private readonly socket: Duplex & { destroySoon?: () => void }) {}

  /** True when no further request of the connection may run, because it could not be answered. */
  public get isClosing(): boolean {
    return this.hasClosed;
  }

  public markClosing(): void {
    this.hasClosed = true;
  }

  public requestStarted(): void {
    this.running += 1;
  }

  public requestEnded(): void {
    this.running -= 1;
    if (this.running === 0 && this.hasClosed) this.socket.destroySoon?.();
  }

  /** Handles bytes that are no request; earlier requests are answered first. */
  public handleClientError(code: string | undefined): void {
    this.markClosing();
    if (this.running === 0 || code === 'ECONNRESET') answerBrokenRequest(this.socket, code);
    else this.breakEmitter.fire();
  }
}
