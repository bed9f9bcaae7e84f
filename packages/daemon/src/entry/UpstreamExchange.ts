/** One request to one target, and its response. */
import diagnosticsChannel from 'node:diagnostics_channel';
import type { Dispatcher } from 'undici';
import { ByteCollector } from './ByteCollector.js';
import { ExchangeError, type FailureCause } from './ExchangeError.js';
import type { ResponseHeaders } from './headers.js';
import type { Refusal } from './refusals.js';

/** Failure of the dispatch check. `refusal` is undefined when another attempt may succeed. */
export interface DispatchCheckFailure {
  readonly kind: 'leaseEnded' | 'tokenExpired' | 'refused';
  readonly refusal?: Refusal;
}

export interface ResponseHead {
  readonly kind: 'head';
  readonly status: number;
  readonly headers: ResponseHeaders;
}

export interface ExchangeFailure {
  readonly kind: 'failed';
  readonly verdict: 'notRun' | 'mayHaveRun';
  readonly cause: FailureCause;
  readonly detail: string;
  readonly checkFailure: DispatchCheckFailure | undefined;
}

/** Receives the body of a response. */
export interface BodySink {
  /** Returns false when the sender should pause until `resume`. */
  onData(chunk: Buffer): boolean;
  onEnd(): void;
  onFail(failure: ExchangeFailure): void;
}

/** Number of body bytes buffered before a sink is attached; the response is paused beyond it. */
const MAX_PENDING_BYTES = 65_536;

/**
 * Bytes on the connection that are not part of the body, such as the head and the framing of chunks. A target may send
 * more of them without end: blank lines, interim responses, an endless reason phrase or chunk extension. The parser
 * accepts these, so the exchange would read them until its deadline.
 */
const MAX_OVERHEAD_BYTES = 131_072;

/** Framing of a body in chunks of a few bytes, as a multiple of the body. */
const MAX_OVERHEAD_RATIO = 16;

/**
 * undici takes lower statuses for interim ones, and then fails an assertion. Node.js makes the message of that by parsing the source,
 * which holds up a process that runs a bundle for seconds. The same happens to 101, which no request asks for.
 */
const FIRST_INTERIM_STATUS = 100;
const SWITCHING_PROTOCOLS = 101;

const FIRST_FINAL_STATUS = 200;

/** Statuses without a body. The length that 304 names is that of the body that the caller has. */
const NO_CONTENT = 204;
const NOT_MODIFIED = 304;

/** Rules for validating upstream responses. */
export interface ResponseRules {
  /** Lower-case name of the header in which the upstream echoes the request id. */
  readonly requestIdHeader: string;
  /**
   * Whether every response must echo the id. One without it may belong to an earlier request on the connection, also if it
   * says that the request did not run.
   */
  readonly requiresEcho: boolean;
}

/** Whether an interim response announces a body. It must not have one, so its sender took it for the final one. */
function announcesBody(headers: ResponseHeaders): boolean {
  const length = headers['content-length'] ?? '0';
  return headers['transfer-encoding'] !== undefined || length !== '0';
}

/** Rejects responses that do not delimit their own body, since a truncated one could not be told from a complete one. */
function findFramingFault(
  method: string,
  status: number,
  headers: ResponseHeaders,
): string | undefined {
  const length = headers['content-length'];
  const coding = headers['transfer-encoding'];
  if (length !== undefined && coding !== undefined) return 'both Content-Length and chunked';
  if (length !== undefined && !/^\d{1,15}$/.test(String(length))) return 'bad Content-Length';
  if (coding !== undefined && String(coding).toLowerCase() !== 'chunked') return 'unknown coding';
  if (status === NO_CONTENT && (length ?? '0') !== '0') return 'a length without content';
  const hasBody = method !== 'HEAD' && status !== NO_CONTENT && status !== NOT_MODIFIED;
  if (hasBody && length === undefined && coding === undefined) {
    return 'neither Content-Length nor chunked';
  }
  return undefined;
}

/** What undici says of an interim response 100 and of a change of the protocol, neither of which a request asks for. */
const UNASKED_RESPONSES = ['bad response', 'bad upgrade'];

/** What its parser says of a connection that ends in the middle of a response. */
const UNEXPECTED_END = 'Invalid EOF state';

/**
 * Bytes that are no response end the exchange here. The target has not ended, and may be sound for other requests. undici gives
 * the errors of its parser no code.
 */
function parserCause(err: Error): FailureCause | undefined {
  const { name, message } = err;
  if (name === 'HTTPParserError') {
    return message.includes(UNEXPECTED_END) ? undefined : 'brokenResponse';
  }
  const isTooLarge = 'code' in err && err.code === 'UND_ERR_HEADERS_OVERFLOW';
  return isTooLarge || UNASKED_RESPONSES.includes(message) ? 'brokenResponse' : undefined;
}

interface Connection {
  readonly bytesRead: number;
}

/** Handler of one undici dispatch. Nothing is sent unless `checkDispatch` passes in the same event loop turn. */
export class UpstreamExchange implements Dispatcher.DispatchHandler {
  /** The exchange whose request is being written in this turn of the event loop. */
  private static starting: UpstreamExchange | undefined;

  static {
    // undici passes the connection of a request only to this channel, after `onRequestStart` and in the same turn.
    diagnosticsChannel.subscribe('undici:client:sendHeaders', (message) => {
      const { socket } = message as { socket: Connection };
      const { starting } = UpstreamExchange;
      if (starting === undefined) return;
      starting.connection = socket;
      starting.bytesBefore = socket.bytesRead;
      UpstreamExchange.starting = undefined;
    });
  }

  /** Resolves with the response head, or with the failure that occurred before it. */
  public readonly head: Promise<ResponseHead | ExchangeFailure>;

  private settleHead!: (value: ResponseHead | ExchangeFailure) => void;

  private controller: Dispatcher.DispatchController | undefined;

  private connection: Connection | undefined;

  /** Bytes read from the connection before this exchange. */
  private bytesBefore = 0;

  private bodyBytes = 0;

  private wasSent = false;

  private hasHead = false;

  private isNotModified = false;

  private sink: BodySink | undefined;

  private readonly pending = new ByteCollector();

  private hasEnded = false;

  private failure: ExchangeFailure | undefined;

  public constructor(
    private readonly method: string,
    private readonly requestId: string,
    private readonly rules: ResponseRules,
    private readonly checkDispatch: () => DispatchCheckFailure | undefined,
    private readonly onDone: () => void,
  ) {
    this.head = new Promise((resolve) => {
      this.settleHead = resolve;
    });
  }

  /** True once a byte of the request may have been sent. */
  public get isSent(): boolean {
    return this.wasSent;
  }

  public onRequestStart(controller: Dispatcher.DispatchController): void {
    // undici may start a request a second time after its connection was reset.
    if (this.wasSent) throw new ExchangeError('connectionLost', 'resend refused');
    if (this.failure !== undefined) throw new ExchangeError('cancelled', 'ended before dispatch');
    const checkFailure = this.checkDispatch();
    if (checkFailure !== undefined) {
      this.fail('gate', checkFailure.kind, checkFailure);
      throw new ExchangeError('gate', checkFailure.kind);
    }
    this.wasSent = true;
    this.controller = controller;
    UpstreamExchange.starting = this;
    queueMicrotask(() => {
      UpstreamExchange.starting = undefined;
    });
  }

  public onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: ResponseHeaders,
  ): void {
    if (this.failure !== undefined) return;
    if (status < FIRST_INTERIM_STATUS || status === SWITCHING_PROTOCOLS) {
      this.abort('brokenResponse', `status ${status}`);
      return;
    }
    if (status < FIRST_FINAL_STATUS) {
      if (announcesBody(headers)) this.abort('brokenResponse', `status ${status} with a body`);
      return;
    }
    const echo = headers[this.rules.requestIdHeader];
    if (echo !== undefined && echo !== this.requestId) {
      this.abort('wrongRequestId', 'the response carries the id of another request');
      return;
    }
    if (echo === undefined && this.rules.requiresEcho && this.requestId !== '') {
      this.abort('wrongRequestId', 'the response carries no request id');
      return;
    }
    const fault = findFramingFault(this.method, status, headers);
    if (fault !== undefined) {
      this.abort('brokenResponse', fault);
      return;
    }
    this.hasHead = true;
    this.isNotModified = status === NOT_MODIFIED;
    this.settleHead({ kind: 'head', status, headers });
  }

  public onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.failure !== undefined) return;
    this.bodyBytes += chunk.length;
    if (this.sink !== undefined) {
      if (!this.sink.onData(chunk)) controller.pause();
      return;
    }
    this.pending.add(chunk);
    if (this.pending.size >= MAX_PENDING_BYTES) controller.pause();
  }

  public onResponseEnd(): void {
    if (this.failure !== undefined) return;
    this.hasEnded = true;
    this.onDone();
    this.sink?.onEnd();
  }

  public onResponseError(_controller: Dispatcher.DispatchController, err: Error): void {
    // undici expects a body of the length that 304 names.
    if (this.isNotModified && 'code' in err && err.code === 'UND_ERR_RES_CONTENT_LENGTH_MISMATCH') {
      this.onResponseEnd();
      return;
    }
    const cause = this.wasSent ? 'connectionLost' : 'connectFailed';
    this.fail(err instanceof ExchangeError ? err.reason : (parserCause(err) ?? cause), err.message);
  }

  /** Delivers the body to a sink, starting with what was buffered. */
  public consume(sink: BodySink): void {
    this.sink = sink;
    const isFull = this.pending
      .take()
      .map((chunk) => sink.onData(chunk))
      .includes(false);
    if (this.failure !== undefined) sink.onFail(this.failure);
    else if (this.hasEnded) sink.onEnd();
    else if (!isFull) this.resume();
  }

  public resume(): void {
    if (this.failure === undefined && !this.hasEnded) this.controller?.resume();
  }

  /** Aborts the exchange if the target sends bytes without end that are no response. */
  public checkOverhead(): void {
    if (this.connection === undefined) return;
    const overhead = this.connection.bytesRead - this.bytesBefore - this.bodyBytes;
    if (overhead <= MAX_OVERHEAD_BYTES + MAX_OVERHEAD_RATIO * this.bodyBytes) return;
    this.abort('brokenResponse', 'the target sends bytes without end that are no response');
  }

  /** Ends the exchange and destroys its connection, so that a late response is discarded. */
  public abort(cause: FailureCause, detail: string): void {
    if (this.hasEnded || this.failure !== undefined) return;
    this.fail(cause, detail);
    this.controller?.abort(new ExchangeError(cause, detail));
  }

  private fail(cause: FailureCause, detail: string, checkFailure?: DispatchCheckFailure): void {
    if (this.failure !== undefined || this.hasEnded) return;
    const verdict = this.wasSent ? 'mayHaveRun' : 'notRun';
    this.failure = { kind: 'failed', verdict, cause, detail, checkFailure };
    this.onDone();
    if (!this.hasHead) this.settleHead(this.failure);
    else this.sink?.onFail(this.failure);
  }
}
