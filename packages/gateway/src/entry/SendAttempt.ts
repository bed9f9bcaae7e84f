/** One attempt to send a request to a target, until the response is complete. */
import type { Clock } from '@marigoldbank/base/clock';
import { ByteCollector } from '@marigoldbank/daemon/entry/ByteCollector';
import type { MemoryBudget } from '@marigoldbank/daemon/entry/MemoryBudget';
import type { FailureCause } from '@marigoldbank/daemon/entry/ExchangeError';
import type { UpstreamClient, UpstreamRequest } from '@marigoldbank/daemon/entry/UpstreamClient';
import type { ResponseHeaders } from '@marigoldbank/daemon/entry/headers';
import type {
  BodySink,
  ExchangeFailure,
  UpstreamExchange,
} from '@marigoldbank/daemon/entry/UpstreamExchange';
import type { TargetState } from '@marigoldbank/routing/TargetTable';
import type { HeaderNames } from '../ProtocolAdapter.js';
import { attemptsTotal } from '../metrics.js';
import type { PaceDetail } from '../sync/EvidenceBuffer.js';
import type { HubReporter } from './HubReporter.js';

/** Responses up to this size are buffered as a whole before any part of them is forwarded. */
const MAX_BUFFERED_BYTES = 262_144;

/** Largest body that is read only to reuse its connection. */
const MAX_DISCARDED_BYTES = 65_536;

/** Value of the header by which a target says that it leaves. */
const IS_LEAVING = '1';

const FIRST_ERROR_STATUS = 500;

/**
 * To a caller these statuses say that the request was not run and may be sent again. A target states that by a header, so
 * that without it they are failures of a request that may have run. (421 always says that another target was meant.)
 */
const NOT_RUN_STATUSES = [408, 429, 503];

const PERMILLE = 1_000;

/** Longest duration that is reported, in thousandths of the expected one. */
const MAX_PERMILLE = 20_000;

/** Result of an attempt. */
export type AttemptResult =
  /** The response to a request that the target ran. `rest` delivers what follows the buffered part. */
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly headers: ResponseHeaders;
      readonly body: readonly Buffer[];
      readonly rest: UpstreamExchange | undefined;
      readonly target: TargetState;
    }
  /** The target reported that it did not run the request, or nothing was sent. */
  | {
      readonly kind: 'notRun';
      readonly detail: string;
      /** Whether the request may have reached the target. */
      readonly wasSent: boolean;
      readonly target: TargetState;
    }
  | {
      readonly kind: 'mayHaveRun';
      readonly detail: string;
      /** Whether the target ended the connection before its answer. */
      readonly isLost: boolean;
      readonly target: TargetState;
    };

/** Causes that say nothing of the target, except for `timedOut`, which is recorded as such. */
const ABORTED_HERE: readonly FailureCause[] = ['cancelled', 'timedOut', 'gate'];
/** What was expected of an attempt when it began. */
export interface Expectation {
  /** Duration at a target of usual pace, with the wait for a slot there. */
  readonly durationMs: number;
  readonly hasFreeSlot: boolean;
}

export interface AttemptContext {
  readonly clock: Clock;
  readonly upstream: UpstreamClient;
  readonly reporter: HubReporter;
  readonly names: HeaderNames;
  /** What the process has for bodies. Without room an answer is forwarded as it comes. */
  readonly memory: MemoryBudget;
}

/** Parses a decimal number of requests a second. Returns undefined for a value of another form. */
function parseLimit(value: string | string[] | undefined): number | undefined {
  return typeof value === 'string' && /^\d{1,9}(?:\.\d{1,9})?$/.test(value.trim())
    ? Number(value)
    : undefined;
}

export class SendAttempt {
  public readonly result: Promise<AttemptResult>;

  public readonly startedAt: number;

  private readonly exchange: UpstreamExchange;

  private hasEnded = false;

  public constructor(
    private readonly ctx: AttemptContext,
    public readonly target: TargetState,
    request: UpstreamRequest,
    /** Duration above which the response counts as slow. */
    private readonly slowThresholdMs: () => number,
    /** Whether the request may run more than once. */
    private readonly isIdempotent: boolean,
    /** Undefined if paces of targets are not learnt. */
    private readonly expectation?: Expectation,
  ) {
    this.startedAt = ctx.clock.now();
    this.target.ownInFlight += 1;
    this.target.lastTriedAt = this.startedAt;
    ctx.reporter.recordLoadChange(target.info.id);
    this.exchange = ctx.upstream.send(request);
    this.result = this.receive();
  }

  /** Whether the target seemed to have a free slot when the attempt began. */
  public get hadFreeSlot(): boolean {
    return this.expectation?.hasFreeSlot ?? false;
  }

  /** Time since the start in ms. */
  public get elapsedMs(): number {
    return this.ctx.clock.now() - this.startedAt;
  }

  /** Reports that the target is slow while the response is still pending. */
  public recordStall(): void {
    if (this.hasEnded) return;
    // The attempt may be cancelled, so that its duration would not be known. It is at least this long.
    this.ctx.reporter.recordOutcome(this.target.info.id, 'suspect', this.paceDetail());
  }

  /** Cancels the attempt without reporting an outcome of the target. */
  public cancel(): void {
    if (this.hasEnded) return;
    this.end('cancelled');
    this.exchange.abort('cancelled', 'no longer needed');
  }

  private async receive(): Promise<AttemptResult> {
    const { names, reporter } = this.ctx;
    const { target } = this;
    const { id } = target.info;
    const head = await this.exchange.head;
    if (head.kind === 'failed') return this.fail(head);
    const { status, headers } = head;
    reporter.recordConnected(id);
    if (status !== 421) this.recordNotices(status, headers);
    if (headers[names.notRun] !== undefined) {
      this.discardBody();
      this.end('notRun');
      // A target at its capacity is healthy, but for a moment another one is preferable.
      const pace = this.expectation === undefined ? undefined : { rejected: 1 };
      if (status === 503) reporter.recordOutcome(id, 'suspect', pace);
      return { kind: 'notRun', detail: `target answered ${status}`, wasSent: true, target };
    }
    if (status === 421) {
      this.discardBody();
      this.end('notRun');
      reporter.recordOutcome(id, 'failed');
      return { kind: 'notRun', detail: 'another target has the address', wasSent: true, target };
    }
    if (headers[names.seal] === undefined && status < FIRST_ERROR_STATUS) {
      this.exchange.abort('brokenResponse', 'no seal');
      this.end('failed');
      reporter.recordOutcome(id, 'failed');
      return { kind: 'mayHaveRun', detail: 'the response bears no seal', isLost: false, target };
    }
    if (!this.isIdempotent && NOT_RUN_STATUSES.includes(status)) {
      this.discardBody();
      this.complete(status);
      return { kind: 'mayHaveRun', detail: `target answered ${status}`, isLost: false, target };
    }
    return this.collect(status, headers);
  }

  /** Records what an answer of the target says about the target itself. */
  private recordNotices(status: number, headers: ResponseHeaders): void {
    const { names, reporter } = this.ctx;
    const { info } = this.target;
    this.recordLimit(headers);
    if (headers[names.leaving] === IS_LEAVING) reporter.recordLeaving(info);
    const retryAfter = headers['retry-after'];
    if (status === 503 && typeof retryAfter === 'string') reporter.recordPause(info, retryAfter);
  }

  /** Records the limit that an answer of the target names, or that it names none. A value that is no number says nothing. */
  private recordLimit(headers: ResponseHeaders): void {
    const { names, reporter } = this.ctx;
    const isOwn = headers[names.seal] !== undefined || headers[names.notRun] !== undefined;
    const value = headers[names.rateLimit];
    const limit = parseLimit(value);
    if (isOwn && (value === undefined || limit !== undefined)) {
      reporter.recordLimit(this.target.info.id, limit);
    }
  }

  private collect(status: number, headers: ResponseHeaders): Promise<AttemptResult> {
    const { target, exchange } = this;
    const body = new ByteCollector();
    const lease = this.ctx.memory.lease();
    return new Promise((resolve) => {
      const sink: BodySink = {
        onData: (chunk) => {
          body.add(chunk);
          const hasRoom = lease.reserve(chunk.length);
          if (hasRoom && body.size < MAX_BUFFERED_BYTES) return true;
          lease.dispose();
          resolve({ kind: 'answered', status, headers, body: body.take(), rest: exchange, target });
          return false;
        },
        onEnd: () => {
          lease.dispose();
          this.complete(status);
          resolve({
            kind: 'answered',
            status,
            headers,
            body: body.take(),
            rest: undefined,
            target,
          });
        },
        onFail: (failure) => {
          lease.dispose();
          resolve(this.fail(failure));
        },
      };
      exchange.consume(sink);
    });
  }

  /** Ends the attempt after a complete response and reports the outcome of the target. */
  public complete(status: number): void {
    if (this.hasEnded) return;
    const isSuspect = status >= FIRST_ERROR_STATUS || this.elapsedMs > this.slowThresholdMs();
    const pace = status >= FIRST_ERROR_STATUS ? undefined : this.paceDetail();
    this.end(status >= FIRST_ERROR_STATUS ? 'error' : 'succeeded');
    this.ctx.reporter.recordOutcome(this.target.info.id, isSuspect ? 'suspect' : 'succeeded', pace);
  }

  private paceDetail(): PaceDetail | undefined {
    if (this.expectation === undefined) return undefined;
    const permille = (PERMILLE * this.elapsedMs) / this.expectation.durationMs;
    return { durationPermille: Math.min(MAX_PERMILLE, Math.max(1, Math.round(permille))) };
  }

  private fail(failure: ExchangeFailure): AttemptResult {
    const { target } = this;
    const wasAbortedHere = ABORTED_HERE.includes(failure.cause);
    if (!this.hasEnded) {
      this.end(failure.cause);
      if (failure.cause === 'connectFailed') this.ctx.reporter.recordConnectFailure(target.info.id);
      else if (failure.cause === 'timedOut') this.ctx.reporter.recordTimeout(target.info.id);
      else if (failure.cause === 'connectionLost') {
        this.ctx.reporter.recordOutcome(target.info.id, 'failed');
      }
      // A broken response is weak evidence, since targets that serve other requests correctly return some.
      else if (!wasAbortedHere) this.ctx.reporter.recordOutcome(target.info.id, 'suspect');
    }
    const detail = `${failure.cause}: ${failure.detail}`;
    return failure.verdict === 'notRun'
      ? { kind: 'notRun', detail, wasSent: false, target }
      : { kind: 'mayHaveRun', detail, isLost: failure.cause === 'connectionLost', target };
  }

  /** Reads and discards the body, so that the connection can be reused. Closes the connection if it is large. */
  private discardBody(): void {
    let size = 0;
    this.exchange.consume({
      onData: (chunk) => {
        size += chunk.length;
        if (size > MAX_DISCARDED_BYTES) this.exchange.abort('cancelled', 'not needed');
        return true;
      },
      onEnd: () => undefined,
      onFail: () => undefined,
    });
  }

  private end(outcome: string): void {
    if (this.hasEnded) return;
    this.hasEnded = true;
    this.target.ownInFlight -= 1;
    this.ctx.reporter.recordLoadChange(this.target.info.id);
    attemptsTotal.inc({ service: this.target.info.service, outcome });
  }
}
