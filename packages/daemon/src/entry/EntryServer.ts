/** The caller listener of an entry. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { Server as NetServer, type AddressInfo } from 'node:net';
import type { Duplex } from 'node:stream';
import { delay } from '@marigoldbank/base/clock';
import { CallerConnection } from './CallerConnection.js';
import { checkRequest } from './checkRequest.js';
import { OWN_PATH_PREFIX } from './constants.js';
import { createCallerApp } from './callerApp.js';
import { ProxyPipeline, type Transaction } from './ProxyPipeline.js';
import type { EntryContext } from './types.js';

const CHECKING_INTERVAL_MS = 500;
/** On top of the time for a body, for bodies that nobody reads. */
const REQUEST_TIMEOUT_MARGIN_MS = 10_000;

/** Listens for callers, and leaves without cutting a request. */
export class EntryServer {
  private readonly server: Server;

  private readonly pipeline: ProxyPipeline;

  private readonly handleOwn: (req: IncomingMessage, res: ServerResponse) => void;

  private readonly connections = new WeakMap<Duplex, CallerConnection>();

  private isLeaving = false;

  private isDraining = false;

  private readonly ctx: EntryContext;

  public constructor(ctx: EntryContext) {
    this.ctx = ctx;
    this.pipeline = new ProxyPipeline(ctx, () => this.isDraining);
    this.handleOwn = createCallerApp(ctx, () => this.isLeaving);
    this.server = this.createServer();
  }

  /** Port that the listener got. */
  public get port(): number {
    return (this.server.address() as AddressInfo).port;
  }

  /** Starts to listen. */
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
   * Leaves: out of the address answers at once, new connections for one ttl plus polling time, then no new connections
   * while kept ones are served until they close. Resolves when the last connection has closed.
   */
  public async drain(): Promise<void> {
    this.isLeaving = true;
    await delay(this.ctx.clock, this.ctx.limits.leaveNoticeMs);
    this.isDraining = true;
    await this.stopAccepting();
  }

  /** Closes at once and cuts what runs. */
  public async close(): Promise<void> {
    const closed = this.stopAccepting();
    this.server.closeAllConnections();
    await closed;
    this.server.close();
  }

  /**
   * Closes only the listening socket. The close of the HTTP server would also close kept connections, on which a
   * request may be under way; they end after their advertised keep-alive time.
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
      connectionsCheckingInterval: CHECKING_INTERVAL_MS,
      insecureHTTPParser: false,
      noDelay: true,
    });
    // Node.js drops headers beyond its own limit without a word; the request check counts them instead.
    server.maxHeadersCount = 0;
    server.maxConnections = limits.maxConnections;
    server.on('request', (req, res) => this.accept(req, res, () => undefined));
    server.on('checkContinue', (req, res) => this.accept(req, res, () => res.writeContinue()));
    server.on('checkExpectation', (req, res) => this.accept(req, res, () => undefined));
    server.on('connect', (_req, socket) => this.connectionOf(socket).handleClientError(undefined));
    server.on('clientError', (err: NodeJS.ErrnoException, socket) =>
      this.connectionOf(socket).handleClientError(err.code),
    );
    return server;
  }

  private accept(req: IncomingMessage, res: ServerResponse, askForBody: () => void): void {
    // A request behind one that ends the connection cannot be answered and must not run.
    const connection = this.connectionOf(req.socket);
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
    const tx: Transaction = { req, res, askForBody, connection };
    if (result.kind === 'refused') {
      connection.markClosing();
      this.settle(this.pipeline.refuse(tx, result.refusal));
    } else if (result.request.path.startsWith(OWN_PATH_PREFIX)) {
      if (this.isDraining) res.setHeader('connection', 'close');
      this.handleOwn(req, res);
    } else {
      this.settle(this.pipeline.handle(tx, result.request));
    }
  }

  private connectionOf(socket: Duplex): CallerConnection {
    const known = this.connections.get(socket);
    if (known !== undefined) return known;
    const created = new CallerConnection(socket);
    this.connections.set(socket, created);
    return created;
  }

  private settle(work: Promise<void>): void {
    work.catch((err: unknown) => {
      this.ctx.logger.error('request handler failed', { error: String(err) });
    });
  }
}
