/** Responses to callers: upstream responses, stored outcomes and refusals. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { delay } from '@marigoldbank/base/clock';
import {
  bufferBody,
  encodeOutcome,
  flattenHeaders,
  writeResponse,
  type StoredOutcome,
  type UpstreamResponse,
} from './responses.js';
import type { Attempt } from './Attempt.js';
import { CLAIM_STORE_WAIT_MS, HEADER_REQUEST_ID, MAX_STORED_RESPONSE_BYTES } from './constants.js';
import type { DispatchResult } from './RequestDispatcher.js';
import { selectResponseHeaders } from './headers.js';
import { toProblemResponse, type Refusal } from './refusals.js';
import type { RequestRecord } from './RequestRecord.js';
import type { Transaction } from './ProxyPipeline.js';
import type { AdmittedRequest, EntryContext, HeaderList } from './types.js';
import type { ExchangeFailure } from './UpstreamExchange.js';

type AnsweredResult = DispatchResult & { kind: 'answered' };

const MIN_SERVER_ERROR_STATUS = 500;

const CONNECTION_CLOSE: HeaderList = [['connection', 'close']];

function hasUnreadBody(req: IncomingMessage): boolean {
  const hasBody =
    req.headers['transfer-encoding'] !== undefined ||
    Number(req.headers['content-length'] ?? 0) > 0;
  return hasBody && !req.complete;
}

/**
 * Lingering close: discards the rest of the body for a limited time, since closing a connection with unread data resets it
 * and could destroy the response in transit.
 */
function discardUnreadBody(tx: Transaction, limitMs: number): Promise<void> {
  return new Promise((resolve) => {
    const timer = setTimeout(resolve, limitMs);
    const done = (): void => {
      clearTimeout(timer);
      resolve();
    };
    tx.req.once('end', done);
    tx.req.once('close', done);
    tx.req.resume();
  });
}

/** Sends responses to callers and reports the outcomes of attempts. */
export class ResponseSender {
  public constructor(
    private readonly ctx: EntryContext,
    private readonly isDraining: () => boolean,
  ) {}

  /** Sends a refusal as a problem details response. */
  public async refuse(tx: Transaction, record: RequestRecord, refusal: Refusal): Promise<void> {
    const { res, req } = tx;
    const { status, headers, body } = toProblemResponse(refusal, record.id);
    record.setOutcome(status, refusal.verdict, refusal.kind);
    if (res.headersSent || res.destroyed || refusal.kind === 'callerGone') {
      res.destroy();
      return;
    }
    const isUnread = hasUnreadBody(req);
    const connectionHeaders: HeaderList =
      isUnread || tx.connection.isClosing ? CONNECTION_CLOSE : this.drainHeaders();
    res.writeHead(status, flattenHeaders([...headers, ...connectionHeaders]));
    res.write(body);
    if (isUnread) await discardUnreadBody(tx, this.ctx.limits.lingerMs);
    res.end();
  }

  /** Sends the outcome of an earlier request with the same idempotency key. */
  public sendStored(tx: Transaction, record: RequestRecord, outcome: StoredOutcome): void {
    record.setOutcome(outcome.status, 'ran', 'stored');
    ResponseSender.writeBuffered(tx.res, outcome, [
      ...outcome.headers,
      [HEADER_REQUEST_ID, record.id],
      ...this.drainHeaders(),
    ]);
  }

  /** Sends an upstream response and finishes its attempt. With a claim, the response is stored before it is sent. */
  public async sendUpstreamResponse(
    tx: Transaction,
    record: RequestRecord,
    request: AdmittedRequest,
    result: AnsweredResult,
  ): Promise<void> {
    const { response, attempt } = result;
    const headers = selectResponseHeaders(response.head.headers, request.id);
    record.setOutcome(response.head.status, 'ran', 'answered');
    if (request.claim === undefined) {
      await this.stream(tx, record, response, attempt, headers);
      return;
    }
    const buffered = await ResponseSender.bufferResponse(response);
    if (buffered.kind === 'failed') {
      ResponseSender.finishAttempt(attempt, response, buffered.failure);
      await this.refuse(tx, record, ResponseSender.toRefusal(buffered.failure));
      return;
    }
    if (buffered.kind === 'overflow') {
      // The claim stays pending, and a resend is told that the request may have run.
      this.ctx.logger.warn('response too large to store with its claim', { requestId: request.id });
      await this.stream(tx, record, { ...response, prefix: buffered.chunks }, attempt, headers);
      return;
    }
    attempt?.finish(response.head.status >= MIN_SERVER_ERROR_STATUS ? 'failed' : 'succeeded');
    const body = Buffer.concat(buffered.chunks);
    const stored = headers.filter(([name]) => name !== HEADER_REQUEST_ID);
    await this.storeOutcome(request, { status: response.head.status, headers: stored, body });
    const outcome = { status: response.head.status, headers, body };
    ResponseSender.writeBuffered(tx.res, outcome, [...headers, ...this.drainHeaders()]);
  }

  private async stream(
    tx: Transaction,
    record: RequestRecord,
    response: UpstreamResponse,
    attempt: Attempt | undefined,
    headers: HeaderList,
  ): Promise<void> {
    try {
      const written = await writeResponse(tx.res, response, [...headers, ...this.drainHeaders()]);
      const failure = written.kind === 'failed' ? written.failure : undefined;
      if (failure !== undefined) {
        record.setOutcome(response.head.status, 'mayHaveRun', `cut:${failure.cause}`);
      }
      ResponseSender.finishAttempt(attempt, response, failure);
    } catch (err) {
      // Node.js throws on a status or header that it cannot send.
      attempt?.exchange.abort('brokenResponse', String(err));
      attempt?.finish('failed');
      const detail = 'the upstream sent a head that cannot be passed on';
      await this.refuse(tx, record, { kind: 'upstreamFailed', verdict: 'mayHaveRun', detail });
    }
  }

  /** Buffers the body, or the part received before it exceeded the limit. */
  private static async bufferResponse(
    response: UpstreamResponse,
  ): Promise<Awaited<ReturnType<typeof bufferBody>>> {
    if (response.rest === undefined) return { kind: 'complete', chunks: [...response.prefix] };
    const result = await bufferBody(response.rest, MAX_STORED_RESPONSE_BYTES);
    if (result.kind === 'failed') return result;
    return { kind: result.kind, chunks: [...response.prefix, ...result.chunks] };
  }

  /** Stores an outcome with its claim, but delays the response by at most `CLAIM_STORE_WAIT_MS`. */
  private async storeOutcome(request: AdmittedRequest, outcome: StoredOutcome): Promise<void> {
    const stored = request.claim!.complete(encodeOutcome(outcome)).catch(() => {
      this.ctx.logger.warn('failed to store the outcome of a claim', { requestId: request.id });
    });
    await Promise.race([stored, delay(this.ctx.clock, CLAIM_STORE_WAIT_MS)]);
  }

  private drainHeaders(): HeaderList {
    return this.isDraining() ? CONNECTION_CLOSE : [];
  }

  private static writeBuffered(
    res: ServerResponse,
    outcome: Omit<StoredOutcome, 'headers'>,
    headers: HeaderList,
  ): void {
    res.writeHead(outcome.status, flattenHeaders(headers));
    res.end(outcome.body);
  }

  private static finishAttempt(
    attempt: Attempt | undefined,
    response: UpstreamResponse,
    failure: ExchangeFailure | undefined,
  ): void {
    if (failure === undefined) {
      attempt?.finish(response.head.status >= MIN_SERVER_ERROR_STATUS ? 'failed' : 'succeeded');
    } else if (failure.cause === 'cancelled') {
      attempt?.finish('cancelled');
    } else {
      attempt?.finish(failure.cause === 'connectionLost' ? 'connectionLost' : 'failed');
    }
  }

  private static toRefusal(failure: ExchangeFailure): Refusal {
    if (failure.cause === 'cancelled') return { kind: 'callerGone', verdict: 'mayHaveRun' };
    if (failure.cause === 'timedOut') return { kind: 'upstreamTimeout', verdict: 'mayHaveRun' };
    return { kind: 'upstreamFailed', verdict: 'mayHaveRun', detail: failure.detail };
  }
}
