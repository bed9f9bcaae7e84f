/** Writes final answers to callers. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { delay, type Clock } from '@marigoldbank/base/clock';
import type { CallerConnection } from '@marigoldbank/daemon/entry/CallerConnection';
import { HOP_BY_HOP_HEADERS, parseConnectionTokens } from '@marigoldbank/daemon/entry/headers';
import type { HeaderNames } from '../ProtocolAdapter.js';
import type { ReplyMessage } from './ErrorResponse.js';
import type { Answered } from './RequestRun.js';
import type { SendAttempt } from './SendAttempt.js';

/** Time that the rest of a refused body is read, so that the caller can read the answer. */
const LINGER_MS = 1_000;

/** A request of a caller and the way to answer it. */
export interface Transaction {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly connection: CallerConnection;
  /** Monotonic ms. */
  readonly receivedAt: number;
  /** Aborted when the caller has gone. */
  readonly gone: AbortController;
}

function hasUnreadBody(req: IncomingMessage): boolean {
  const hasBody =
    req.headers['transfer-encoding'] !== undefined ||
    Number(req.headers['content-length'] ?? 0) > 0;
  return hasBody && !req.complete;
}

export interface AnswerWriterContext {
  readonly clock: Clock;
  readonly names: HeaderNames;
  /** Whether answers end their connections. */
  readonly isLeaving: () => boolean;
}

export class AnswerWriter {
  public constructor(private readonly ctx: AnswerWriterContext) {}

  /** Passes on a target's answer. */
  public async answer(tx: Transaction, answer: Answered, attempt: SendAttempt): Promise<void> {
    const { res } = tx;
    if (res.destroyed) {
      answer.rest?.abort('cancelled', 'the caller went away');
      attempt.cancel();
      return;
    }
    res.writeHead(answer.status, this.answerHeaders(answer));
    answer.body.forEach((chunk) => res.write(chunk));
    if (answer.rest === undefined) {
      res.end();
      return;
    }
    await AnswerWriter.stream(res, answer, attempt);
  }

  /** Writes an answer of the entry itself. */
  public async refuse(
    tx: Transaction,
    requestId: string | undefined,
    message: ReplyMessage,
  ): Promise<void> {
    const { req, res, connection } = tx;
    if (res.headersSent || res.destroyed) return;
    const isUnread = hasUnreadBody(req);
    const isLast = isUnread || connection.isClosing || this.ctx.isLeaving();
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
        delay(this.ctx.clock, LINGER_MS),
      ]);
    }
    res.end();
  }

  /** Passes on the rest of a large answer. One that breaks off must not look complete. */
  private static stream(
    res: ServerResponse,
    answer: Answered,
    attempt: SendAttempt,
  ): Promise<void> {
    const exchange = answer.rest!;
    return new Promise((resolve) => {
      res.on('drain', () => exchange.resume());
      res.once('close', () => {
        exchange.abort('cancelled', 'the caller went away');
        attempt.cancel();
        resolve();
      });
      exchange.consume({
        onData: (chunk) => res.write(chunk),
        onEnd: () => {
          attempt.judge(answer.status);
          res.end(() => resolve());
        },
        onFail: () => res.destroy(),
      });
    });
  }

  private answerHeaders({ headers }: Answered): Record<string, string | string[]> {
    const tokens = parseConnectionTokens([headers.connection ?? []].flat());
    const dropped = new Set([...HOP_BY_HOP_HEADERS, ...tokens]);
    const kept = Object.entries(headers).flatMap(([name, value]) =>
      value === undefined || dropped.has(name) ? [] : [[name, value] as const],
    );
    return {
      ...Object.fromEntries(kept),
      ...(this.ctx.isLeaving() ? { connection: 'close' } : {}),
    };
  }
}
