/** State of one caller connection. */
import type { Duplex } from 'node:stream';
import { Emitter } from '@marigoldbank/base/events';
import { sendClientError } from './clientErrors.js';

/** Counts the requests in progress, so that no error response is written to the socket ahead of their responses. */
export class CallerConnection {
  private readonly failEmitter = new Emitter<void>();

  /** Fires on a client error while requests are in progress. A body that is still being received will not complete. */
  public readonly onDidFail = this.failEmitter.event;

  private activeRequests = 0;

  private startedRequests = 0;

  private hasClosed = false;

  public constructor(private readonly socket: Duplex & { destroySoon?: () => void }) {}

  /** True when the connection will be closed. Further requests on it must not run, since they cannot be answered. */
  public get isClosing(): boolean {
    return this.hasClosed;
  }

  public markClosing(): void {
    this.hasClosed = true;
  }

  /** Returns the number of the request on this connection. */
  public requestStarted(): number {
    this.activeRequests += 1;
    this.startedRequests += 1;
    return this.startedRequests;
  }

  /** Whether no request has started after this one. Only then may its response close the connection. */
  public isNewest(requestNumber: number): boolean {
    return requestNumber === this.startedRequests;
  }

  public requestEnded(): void {
    this.activeRequests -= 1;
    if (this.activeRequests === 0 && this.hasClosed) this.socket.destroySoon?.();
  }

  /** Handles a request that could not be parsed or received. Requests in progress are answered first. */
  public handleClientError(code: string | undefined): void {
    this.markClosing();
    if (this.activeRequests === 0 || code === 'ECONNRESET') sendClientError(this.socket, code);
    else this.failEmitter.fire();
  }
}
