/** HTTP listener for callers. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { Server as NetServer, type AddressInfo } from 'node:net';
import type { Duplex } from 'node:stream';
import { delay } from '@marigoldbank/base/clock';
import { CallerConnection } from './CallerConnection.js';
import { checkRequest } from './checkRequest.js';
import { WELL_KNOWN_PATH_PREFIX } from './constants.js';
import { createCallerApp } from './callerApp.js';
import { ProxyPipeline, type Transaction } from './ProxyPipeline.js';
import type { EntryContext } from './types.js';

const TIMEOUT_CHECK_INTERVAL_MS = 500;
/** Margin of the Node.js request timeout over the header and body timeouts. It ends requests whose body nobody reads. */
const REQUEST_TIMEOUT_MARGIN_MS = 10_000;

/** Accepts caller connections, and shuts down without interrupting requests. */
export class EntryServer {
  private readonly server: Server;

  private readonly pipeline: ProxyPipeline;

  private readonly handleWellKnown: (req: IncomingMessage, res: ServerResponse) => void;

  private readonly connections = new WeakMap<Duplex, CallerConnection>();

  private isLeaving = false;

  private isDraining = false;

  private readonly ctx: EntryContext;

  public constructor(ctx: EntryContext) {
    this.ctx = ctx;
    this.pipeline = new ProxyPipeline(ctx, () => this.isDraining);
    this.handleWellKnown = createCallerApp(ctx, () => this.isLeaving);
    this.server = this.createServer();
  }

  /** Port that the listener is bound to. */
  public get port(): number {
    return (this.server.address() as AddressInfo).port;
  }

  /** Binds the listener. */
  public listen(port: number, host: string): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, () => {
        this.server.removeListener('error', reject);
        resolve();
      });
    });
  }

  /**
   * Shuts down gracefully. The address lists omit this entry at once, but new connections are accepted for one address TTL
   * plus the polling time. After that the listening socket is closed, and open connections are served until they close.
   * Resolves when the last connection has closed.
   */
  public async drain(): Promise<void> {
    this.isLeaving = true;
    await delay(this.ctx.clock, this.ctx.limits.drainDelayMs);
    this.isDraining = true;
    await this.stopAccepting();
  }

  /** Closes the listener and all connections at once, aborting requests in progress. */
  public async close(): Promise<void> {
    const closed = this.stopAccepting();
    this.server.closeAllConnections();
    await closed;
    this.server.close();
  }

  /**
   * Closes only the listening socket. Closing the HTTP server would also close idle keep-alive connections, on which a
   * request may already be in transit. These connections end after their advertised keep-alive time instead.
   */
  private stopAccepting(): Promise<void> {
    return new Promise((resolve) => {
      NetServer.prototype.close.call(this.server, () => resolve());
    });
  }

  private createServer(): Server {
    const { limits } = this.ctx;
    const server = createServer({
      maxHeaderSize: limits.maxHeaderBytes,
      headersTimeout: limits.headersTimeoutMs,
      requestTimeout: limits.bodyTimeoutMs + limits.headersTimeoutMs + REQUEST_TIMEOUT_MARGIN_MS,
      keepAliveTimeout: limits.keepAliveTimeoutMs,
      connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
      insecureHTTPParser: false,
      noDelay: true,
    });
    // Node.js silently drops headers beyond its limit, so the limit is off and checkRequest counts the headers.
    server.maxHeadersCount = 0;
    server.maxConnections = limits.maxConnections;
    server.on('request', (req, res) => this.handleRequest(req, res, () => undefined));
    server.on('checkContinue', (req, res) =>
      this.handleRequest(req, res, () => res.writeContinue()),
    );
    server.on('checkExpectation', (req, res) => this.handleRequest(req, res, () => undefined));
    server.on('connect', (_req, socket) => this.getConnection(socket).handleClientError(undefined));
    server.on('clientError', (err: NodeJS.ErrnoException, socket) =>
      this.getConnection(socket).handleClientError(err.code),
    );
    return server;
  }

  private handleRequest(req: IncomingMessage, res: ServerResponse, sendContinue: () => void): void {
    // A pipelined request after one that closes the connection cannot be answered, so it must not run.
    const connection = this.getConnection(req.socket);
    if (connection.isClosing) return;
    connection.requestStarted();
    res.on('error', () => res.destroy());
    res.once('close', () => connection.requestEnded());
    const result = checkRequest(
      {
        method: req.method ?? '',
        url: req.url ?? '',
        httpVersion: req.httpVersion,
        rawHeaders: req.rawHeaders,
      },
      this.ctx.limits,
    );
    const tx: Transaction = { req, res, sendContinue, connection };
    if (result.kind === 'refused') {
      connection.markClosing();
      this.logRejection(this.pipeline.refuse(tx, result.refusal));
    } else if (result.request.path.startsWith(WELL_KNOWN_PATH_PREFIX)) {
      if (this.isDraining) res.setHeader('connection', 'close');
      this.handleWellKnown(req, res);
    } else {
      this.logRejection(this.pipeline.handle(tx, result.request));
    }
  }

  private getConnection(socket: Duplex): CallerConnection {
    const existing = this.connections.get(socket);
    if (existing !== undefined) return existing;
    const created = new CallerConnection(socket);
    this.connections.set(socket, created);
    return created;
  }

  private logRejection(work: Promise<void>): void {
    work.catch((err: unknown) => {
      this.ctx.logger.error('request handler failed', { error: String(err) });
    });
  }
}
