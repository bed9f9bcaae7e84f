/** Answers to callers: upstreams' answers, stored outcomes and refusals. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { delay } from '@marigoldbank/base/clock';
import {
  bufferBody,
  encodeOutcome,
  flattenHeaders,
  writeAnswer,
  type StoredOutcome,
  type UpstreamAnswer,
} from './answers.js';
import type { Attempt } from './Attempt.js';
import { CLAIM_STORE_WAIT_MS, HEADER_REQUEST_ID, MAX_STORED_ANSWER_BYTES } from './constants.js';
import type { DispatchResult } from './DispatchRun.js';
import { selectResponseHeaders } from './headers.js';
import { toAnswer, type Refusal } from './refusals.js';
import type { RequestRecord } from './RequestRecord.js';
import type { Transaction } from './ProxyPipeline.js';
import type { AdmittedRequest, EntryContext, HeaderList } from './types.js';
import type { ExchangeFailure } from './UpstreamExchange.js';

type Answered = DispatchResult & { kind: 'answered' };

const FIRST_ERROR_STATUS = 500;

const CLOSE: HeaderList = [['connection', 'close']];

function hasUnreadBody(req: IncomingMessage): boolean {
  const hasBody =
    req.headers['transfer-encoding'] !== undefined ||
    Number(req.headers['content-length'] ?? 0) > 0;
  return hasBody && !req.complete;
}

/** Reads on for a while, since closing a connection with unread data would destroy the answer on its way. */
function linger(tx: Transaction, limitMs: number): Promise<void> {
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

/** Writes answers and reports outcomes. */
export class AnswerSender {
  public constructor(
    private readonly ctx: EntryContext,
    private readonly isDraining: () => boolean,
  ) {}

  /** Sends a refusal as problem details. */
  public async refuse(tx: Transaction, record: RequestRecord, refusal: Refusal): Promise<void> {
    const { res, req } = tx;
    const { status, headers, body } = toAnswer(refusal, record.id);
    record.setOutcome(status, refusal.verdict, refusal.kind);
    if (res.headersSent || res.destroyed || refusal.kind === 'callerGone') {
      res.destroy();
      return;
    }
    const isUnread = hasUnreadBody(req);
    const closing: HeaderList = isUnread || tx.connection.isClosing ? CLOSE : this.closing();
    res.writeHead(status, flattenHeaders([...headers, ...closing]));
    res.write(body);
    if (isUnread) await linger(tx, this.ctx.limits.lingerMs);
    res.end();
  }

  /** Sends the outcome of an earlier request with the same idempotency key. */
  public sendStored(tx: Transaction, record: RequestRecord, outcome: StoredOutcome): void {
    record.setOutcome(outcome.status, 'ran', 'stored');
    AnswerSender.writeWhole(tx.res, outcome, [
      ...outcome.headers,
      [HEADER_REQUEST_ID, record.id],
      ...this.closing(),
    ]);
  }

  /** Sends an upstream's answer and finishes its attempt. */
  public async answer(
    tx: Transaction,
    record: RequestRecord,
    request: AdmittedRequest,
    result: Answered,
  ): Promise<void> {
    const { answer, attempt } = result;
    const headers = selectResponseHeaders(answer.head.headers, request.id);
    record.setOutcome(answer.head.status, 'ran', 'answered');
    if (request.claim === undefined) {
      await this.stream(tx, record, answer, attempt, headers);
      return;
    }
    const whole = await AnswerSender.collect(answer);
    if (whole.kind === 'failed') {
      AnswerSender.finishAttempt(attempt, answer, whole.failure);
      await this.refuse(tx, record, AnswerSender.toRefusal(whole.failure));
      return;
    }
    if (whole.kind === 'overflow') {
      // Too long to store: the claim stays pending, and a resend learns that the request may have run.
      this.ctx.logger.warn('answer too long to store', { requestId: request.id });
      await this.stream(tx, record, { ...answer, prefix: whole.chunks }, attempt, headers);
      return;
    }
    attempt?.finish(answer.head.status >= FIRST_ERROR_STATUS ? 'failed' : 'succeeded');
    const body = Buffer.concat(whole.chunks);
    const stored = headers.filter(([name]) => name !== HEADER_REQUEST_ID);
    await this.store(request, { status: answer.head.status, headers: stored, body });
    const outcome = { status: answer.head.status, headers, body };
    AnswerSender.writeWhole(tx.res, outcome, [...headers, ...this.closing()]);
  }

  private async stream(
    tx: Transaction,
    record: RequestRecord,
    answer: UpstreamAnswer,
    attempt: Attempt | undefined,
    headers: HeaderList,
  ): Promise<void> {
    try {
      const written = await writeAnswer(tx.res, answer, [...headers, ...this.closing()]);
      const failure = written.kind === 'failed' ? written.failure : undefined;
      if (failure !== undefined) {
        record.setOutcome(answer.head.status, 'mayHaveRun', `cut:${failure.cause}`);
      }
      AnswerSender.finishAttempt(attempt, answer, failure);
    } catch (err) {
      // A status or header that Node.js refuses to send.
      attempt?.exchange.abort('brokenResponse', String(err));
      attempt?.finish('failed');
      const detail = 'the upstream sent a head that cannot be passed on';
      await this.refuse(tx, record, { kind: 'upstreamFailed', verdict: 'mayHaveRun', detail });
    }
  }

  /** The whole body, or what has come of one that is too long. */
  private static async collect(
    answer: UpstreamAnswer,
  ): Promise<Awaited<ReturnType<typeof bufferBody>>> {
    if (answer.rest === undefined) return { kind: 'complete', chunks: [...answer.prefix] };
    const result = await bufferBody(answer.rest, MAX_STORED_ANSWER_BYTES);
    if (result.kind === 'failed') return result;
    return { kind: result.kind, chunks: [...answer.prefix, ...result.chunks] };
  }

  /** Stores an outcome. A store that takes too long does not hold the answer back. */
  private async store(request: AdmittedRequest, outcome: StoredOutcome): Promise<void> {
    const stored = request.claim!.complete(encodeOutcome(outcome)).catch(() => {
      this.ctx.logger.warn('outcome was not stored', { requestId: request.id });
    });
    await Promise.race([stored, delay(this.ctx.clock, CLAIM_STORE_WAIT_MS)]);
  }

  private closing(): HeaderList {
    return this.isDraining() ? CLOSE : [];
  }

  private static writeWhole(
    res: ServerResponse,
    outcome: Omit<StoredOutcome, 'headers'>,
    headers: HeaderList,
  ): void {
    res.writeHead(outcome.status, flattenHeaders(headers));
    res.end(outcome.body);
  }

  private static finishAttempt(
    attempt: Attempt | undefined,
    answer: UpstreamAnswer,
    failure: ExchangeFailure | undefined,
  ): void {
    if (failure === undefined) {
      attempt?.finish(answer.head.status >= FIRST_ERROR_STATUS ? 'failed' : 'succeeded');
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
