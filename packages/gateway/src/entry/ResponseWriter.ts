/** Writes responses to callers. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { delay, type Clock } from '@marigoldbank/base/clock';
import { ByteCollector } from '@marigoldbank/daemon/entry/ByteCollector';
import type { MemoryLease } from '@marigoldbank/daemon/entry/MemoryLease';
import type { CallerConnection } from '@marigoldbank/daemon/entry/CallerConnection';
import { HOP_BY_HOP_HEADERS, parseConnectionTokens } from '@marigoldbank/daemon/entry/headers';
import type { HeaderNames } from '../ProtocolAdapter.js';
import type { EncodedResponse } from './ErrorResponse.js';
import type { UpstreamResponse } from './run-types.js';
import type { SendAttempt } from './SendAttempt.js';

/** Maximum time to read the rest of a refused body, so that the caller can read the response. */
const UNREAD_BODY_TIMEOUT_MS = 1_000;

/** Bytes of an answer that are taken from its target before they are written. */
const MAX_UNWRITTEN_BYTES = 65_536;

/** A request of a caller, its response and its connection. */
export interface Transaction {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly connection: CallerConnection;
  /** Number of the request on its connection. */
  readonly requestNumber: number;
  /** Monotonic ms. */
  readonly receivedAt: number;
  /** Aborted when the caller has gone. */
  readonly callerGone: AbortController;
  /** Memory for the body. */
  readonly memory: MemoryLease;
}

function hasUnreadBody(req: IncomingMessage): boolean {
  const hasBody =
    req.headers['transfer-encoding'] !== undefined ||
    Number(req.headers['content-length'] ?? 0) > 0;
  return hasBody && !req.complete;
}

export interface ResponseWriterContext {
  readonly clock: Clock;
  readonly names: HeaderNames;
  /** Whether connections are closed after their next response. */
  readonly isDraining: () => boolean;
}

export class ResponseWriter {
  public constructor(private readonly ctx: ResponseWriterContext) {}

  /** Forwards the response of a target. */
  public async writeUpstreamResponse(
    tx: Transaction,
    response: UpstreamResponse,
    attempt: SendAttempt,
  ): Promise<void> {
    const { res } = tx;
    if (res.destroyed) {
      response.rest?.abort('cancelled', 'the caller went away');
      attempt.cancel();
      return;
    }
    res.writeHead(response.status, this.responseHeaders(tx, response));
    response.body.forEach((chunk) => res.write(chunk));
    if (response.rest === undefined) {
      res.end();
      return;
    }
    await ResponseWriter.stream(res, response, attempt);
  }

  /** Writes an error response of the entry itself. */
  public async writeError(
    tx: Transaction,
    requestId: string | undefined,
    message: EncodedResponse,
  ): Promise<void> {
    const { req, res, connection } = tx;
    if (res.headersSent || res.destroyed) return;
    const isUnread = hasUnreadBody(req);
    const isLast = this.isLast(tx, isUnread || connection.isClosing);
    res.writeHead(message.status, {
      ...message.headers,
      ...(requestId === undefined ? {} : { [this.ctx.names.requestId]: requestId }),
      ...(isLast ? { connection: 'close' } : {}),
    });
    res.write(message.body);
    if (isUnread) {
      req.resume();
      await Promise.race([
        new Promise((resolve) => {
          req.once('close', resolve);
        }),
        delay(this.ctx.clock, UNREAD_BODY_TIMEOUT_MS),
      ]);
    }
    res.end();
  }

  /** Streams the rest of a large response. If it breaks off, it must not look complete: the connection ends. */
  private static stream(
    res: ServerResponse,
    response: UpstreamResponse,
    attempt: SendAttempt,
  ): Promise<void> {
    const exchange = response.rest!;
    return new Promise((resolve) => {
      res.on('drain', () => exchange.resume());
      res.once('close', () => {
        exchange.abort('cancelled', 'the caller went away');
        attempt.cancel();
        resolve();
      });
      // A write for each piece would cost a target that sends chunks of one byte an object of this process for each byte.
      const pieces = new ByteCollector();
      let isScheduled = false;
      const flush = (): void => {
        isScheduled = false;
        pieces.take().forEach((block) => res.write(block));
        if (!res.writableNeedDrain) exchange.resume();
      };
      exchange.consume({
        onData: (chunk) => {
          pieces.add(chunk);
          if (!isScheduled) setImmediate(flush);
          isScheduled = true;
          return pieces.size < MAX_UNWRITTEN_BYTES && !res.writableNeedDrain;
        },
        onEnd: () => {
          pieces.take().forEach((block) => res.write(block));
          attempt.complete(response.status);
          res.end(() => resolve());
        },
        onFail: () => res.destroy(),
      });
    });
  }

  /**
   * Whether the connection is closed after this response. Later requests on the connection are then not run, and one that
   * has already started gets its response first.
   */
  private isLast({ connection, requestNumber }: Transaction, isClosing: boolean): boolean {
    const isLast = (isClosing || this.ctx.isDraining()) && connection.isNewest(requestNumber);
    if (isLast) connection.markClosing();
    return isLast;
  }

  private responseHeaders(
    tx: Transaction,
    { headers }: UpstreamResponse,
  ): Record<string, string | string[]> {
    const tokens = parseConnectionTokens([headers.connection ?? []].flat());
    const dropped = new Set([...HOP_BY_HOP_HEADERS, ...tokens]);
    const kept = Object.entries(headers).flatMap(([name, value]) =>
      value === undefined || dropped.has(name) ? [] : [[name, value] as const],
    );
    return {
      ...Object.fromEntries(kept),
      ...(this.isLast(tx, tx.connection.isClosing) ? { connection: 'close' } : {}),
    };
  }
}
