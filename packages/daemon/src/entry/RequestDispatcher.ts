/** Token reservation, queueing, target choice, attempts and retries of one request. */
import type { Reservation } from '@marigoldbank/budgets';
import type { AttemptOutcome } from '@marigoldbank/ejection';
import { bufferBody, type UpstreamResponse } from './responses.js';
import { Attempt } from './Attempt.js';
import {
  HEADER_NOT_RUN,
  MAX_DISPATCH_ROUNDS,
  MAX_SENDS,
  MAX_STORED_RESPONSE_BYTES,
  OPEN_TEAM,
  TOKEN_WAIT_MS,
} from './constants.js';
import type { Refusal } from './refusals.js';
import type { AdmittedRequest, EntryContext, ServiceRouter, TargetPermit } from './types.js';
import type { FailureCause } from './ExchangeError.js';
import type { ExchangeFailure, ResponseHead } from './UpstreamExchange.js';

export type DispatchResult =
  /** `attempt` is undefined when the response is complete and its attempt was finished. */
  | {
      readonly kind: 'answered';
      readonly response: UpstreamResponse;
      readonly attempt: Attempt | undefined;
    }
  | { readonly kind: 'refused'; readonly refusal: Refusal };

type StepResult<T> =
  | { readonly kind: 'ok'; readonly value: T }
  | { readonly kind: 'refused'; readonly refusal: Refusal };

const RETRYABLE_STATUS = new Set([500, 502, 503, 504]);

const MS_PER_SECOND = 1_000;

const OUTCOME_BY_CAUSE: Record<FailureCause, AttemptOutcome> = {
  gate: 'cancelled',
  connectFailed: 'failed',
  shed: 'shed',
  timedOut: 'failed',
  cancelled: 'cancelled',
  connectionLost: 'connectionLost',
  wrongRequestId: 'failed',
  brokenResponse: 'failed',
};

function refuse(refusal: Refusal): { kind: 'refused'; refusal: Refusal } {
  return { kind: 'refused', refusal };
}

function parseRetryAfterMs(head: ResponseHead): number | undefined {
  const seconds = Number(head.headers['retry-after']);
  return Number.isInteger(seconds) && seconds >= 0 ? seconds * MS_PER_SECOND : undefined;
}

/** Sends one admitted request to targets until it is answered or refused. */
export class RequestDispatcher {
  /** Target of the latest attempt. */
  public target: string | undefined;

  /** Number of times the request was sent. */
  public sends = 0;

  private readonly attempts: Attempt[] = [];

  private readonly triedTargets = new Set<string>();

  private reservation: Reservation | undefined;

  /** True once an attempt was sent and failed, so that it is unknown whether the request ran. */
  private mayHaveRun = false;

  private hasLostConnection = false;

  /** Complete error response of an earlier attempt, returned if no later attempt succeeds. */
  private fallbackResponse: UpstreamResponse | undefined;

  private lastRefusal: Refusal = { kind: 'noTarget', verdict: 'notRun' };

  public constructor(
    private readonly ctx: EntryContext,
    private readonly router: ServiceRouter,
    private readonly req: AdmittedRequest,
  ) {}

  /** Total duration of all attempts. */
  public get upstreamMs(): number {
    return this.attempts.reduce((sum, attempt) => sum + attempt.elapsedMs, 0);
  }

  public async run(): Promise<DispatchResult> {
    this.router.retries.recordRequest();
    try {
      return this.combineWithEarlierAttempts(await this.runRounds());
    } finally {
      this.reservation?.release();
    }
  }

  private async runRounds(): Promise<DispatchResult> {
    for (let round = 0; round < MAX_DISPATCH_ROUNDS; round += 1) {
      const token = await this.reserveToken();
      if (token.kind === 'refused') return token;
      const permit = await this.acquireTarget();
      if (permit.kind === 'refused') return permit;
      const result = await this.runAttempt(permit.value);
      if (result !== undefined) return result;
    }
    return refuse(this.lastRefusal);
  }

  /**
   * Takes earlier attempts into account: a refusal gives way to their fallback response, and must not say `notRun` if one of
   * them may have run.
   */
  private combineWithEarlierAttempts(result: DispatchResult): DispatchResult {
    if (result.kind === 'answered') return result;
    if (this.fallbackResponse !== undefined && result.refusal.kind !== 'callerGone') {
      return { kind: 'answered', response: this.fallbackResponse, attempt: undefined };
    }
    if (!this.mayHaveRun || result.refusal.verdict !== 'notRun') return result;
    if (result.refusal.kind === 'callerGone') {
      return refuse({ kind: 'callerGone', verdict: 'mayHaveRun' });
    }
    const detail = `an earlier attempt may have run; then: ${result.refusal.kind}`;
    return refuse({ kind: 'upstreamFailed', verdict: 'mayHaveRun', detail });
  }

  /** Reserves a token, unless one is left from an attempt that sent nothing. Each send consumes its own token. */
  private async reserveToken(): Promise<StepResult<void>> {
    const { key } = this.req;
    if (key === undefined || this.reservation !== undefined) {
      return { kind: 'ok', value: undefined };
    }
    const remainingMs = this.req.deadlineAt - this.ctx.clock.now();
    if (remainingMs <= 0) return refuse({ kind: 'deadlineBeforeDispatch', verdict: 'notRun' });
    const waitMs = Math.min(TOKEN_WAIT_MS, remainingMs);
    const outcome = await this.ctx.budgets.reserve(key.team, waitMs);
    if (outcome.kind === 'reserved') {
      this.reservation = outcome.reservation;
      return { kind: 'ok', value: undefined };
    }
    if (outcome.kind === 'unknownTeam') return refuse({ kind: 'notCurrent', verdict: 'notRun' });
    const plan = this.ctx.blackboard.config.value?.lists.planOf(key.team);
    return refuse({
      kind: 'overLimit',
      verdict: 'notRun',
      retryAfterMs: outcome.retryAfterMs,
      rate: plan?.rate ?? 0,
      burst: plan?.burst ?? 0,
    });
  }

  private async acquireTarget(): Promise<StepResult<TargetPermit>> {
    const isIdempotent = this.req.route.idempotent;
    // Without an untried candidate, the request would wait in the queue until its deadline.
    if (this.router.pool.candidateCount <= this.triedTargets.size) return refuse(this.lastRefusal);
    // A retry has already waited in the queue. Queued again, it would block other requests, since only the untried targets
    // may serve it.
    if (this.triedTargets.size > 0) {
      const lease = this.router.pool.tryChoose({ isIdempotent, exclude: this.triedTargets });
      if (lease !== undefined) return { kind: 'ok', value: { lease, dispose: () => undefined } };
    }
    const outcome = await this.router.queue.acquire({
      team: this.req.key?.team ?? OPEN_TEAM,
      deadlineAt: this.req.deadlineAt,
      isIdempotent,
      signal: this.req.signal,
    });
    if (outcome.kind === 'queueFull') return refuse({ kind: 'queueFull', verdict: 'notRun' });
    if (outcome.kind === 'cancelled') {
      // The queue is also closed when its service is removed from the lists.
      const kind = this.req.signal.aborted ? 'callerGone' : 'noTarget';
      return refuse({ kind, verdict: 'notRun' });
    }
    if (outcome.kind === 'timedOut') {
      return refuse({ kind: 'deadlineBeforeDispatch', verdict: 'notRun' });
    }
    return this.rejectTriedTarget(outcome.permit);
  }

  /** Returns the permit if its target was already tried, since no other target has a free slot. */
  private rejectTriedTarget(permit: TargetPermit): StepResult<TargetPermit> {
    if (!this.triedTargets.has(permit.lease.target)) return { kind: 'ok', value: permit };
    permit.lease.finish('cancelled', 0);
    permit.dispose();
    this.router.queue.wake();
    return refuse(this.lastRefusal);
  }

  /** Runs one attempt. Returns undefined when another round may follow. */
  private async runAttempt(permit: TargetPermit): Promise<DispatchResult | undefined> {
    const attempt = new Attempt(this.ctx, this.router, permit, this.req, this.reservation);
    this.attempts.push(attempt);
    this.target = attempt.target;
    const head = await attempt.exchange.head;
    if (attempt.exchange.isSent) {
      this.reservation = undefined;
      this.sends += 1;
    }
    if (head.kind === 'failed') return this.handleFailure(attempt, head);
    attempt.markHeadReceived();
    if (head.status === 503 && head.headers[HEADER_NOT_RUN] === '1') {
      return this.handleShed(attempt, head);
    }
    if (this.req.route.idempotent && RETRYABLE_STATUS.has(head.status)) {
      return this.handleErrorStatus(attempt, head);
    }
    const response = { head, prefix: [], rest: attempt.exchange };
    return { kind: 'answered', response, attempt };
  }

  private async handleShed(
    attempt: Attempt,
    head: ResponseHead,
  ): Promise<DispatchResult | undefined> {
    // Reading the short body to its end lets the connection be reused.
    const body = await bufferBody(attempt.exchange, MAX_STORED_RESPONSE_BYTES);
    if (body.kind === 'overflow') {
      attempt.exchange.abort('shed', 'the body of a refusal is too long');
    }
    this.finishAttempt(attempt, 'shed');
    const refusal: Refusal = {
      kind: 'shed',
      verdict: 'notRun',
      retryAfterMs: parseRetryAfterMs(head),
    };
    return this.retryOrRefuse(refusal, true);
  }

  private async handleErrorStatus(
    attempt: Attempt,
    head: ResponseHead,
  ): Promise<DispatchResult | undefined> {
    const body = await bufferBody(attempt.exchange, MAX_STORED_RESPONSE_BYTES);
    if (body.kind === 'failed') return this.handleFailure(attempt, body.failure);
    if (body.kind === 'overflow') {
      const response = { head, prefix: body.chunks, rest: attempt.exchange };
      return { kind: 'answered', response, attempt };
    }
    this.finishAttempt(attempt, 'failed');
    this.fallbackResponse = { head, prefix: body.chunks, rest: undefined };
    return this.retryOrRefuse(this.lastRefusal, true);
  }

  private handleFailure(attempt: Attempt, failure: ExchangeFailure): DispatchResult | undefined {
    this.finishAttempt(attempt, OUTCOME_BY_CAUSE[failure.cause]);
    const isSent = failure.verdict === 'mayHaveRun';
    if (isSent) this.mayHaveRun = true;
    if (failure.cause === 'gate') return this.handleFailedCheck(failure);
    const refusal = RequestDispatcher.toRefusal(failure);
    if (failure.cause === 'cancelled' || failure.cause === 'timedOut') return refuse(refusal);
    // A request that crashes upstreams must not be sent to all of them.
    const isSecondLostConnection = failure.cause === 'connectionLost' && this.hasLostConnection;
    if (failure.cause === 'connectionLost') this.hasLostConnection = true;
    if (isSecondLostConnection) return refuse(refusal);
    return this.retryOrRefuse(refusal, isSent);
  }

  private handleFailedCheck(failure: ExchangeFailure): DispatchResult | undefined {
    const { checkFailure } = failure;
    if (checkFailure?.refusal !== undefined) return refuse(checkFailure.refusal);
    if (checkFailure?.kind === 'tokenExpired') this.reservation = undefined;
    this.lastRefusal = { kind: 'noTarget', verdict: 'notRun' };
    return undefined;
  }

  /** Returns undefined when another round may follow, else the refusal. Retries of sent requests use the retry budget. */
  private retryOrRefuse(refusal: Refusal, isSent: boolean): DispatchResult | undefined {
    this.lastRefusal = refusal;
    const isAllowed = !this.mayHaveRun || this.req.route.idempotent;
    if (!isAllowed || this.sends >= MAX_SENDS) return refuse(refusal);
    if (this.ctx.clock.now() >= this.req.deadlineAt) return refuse(refusal);
    if (isSent && !this.router.retries.tryRetry()) return refuse(refusal);
    return undefined;
  }

  private finishAttempt(attempt: Attempt, outcome: AttemptOutcome): void {
    if (attempt.exchange.isSent || outcome === 'failed') this.triedTargets.add(attempt.target);
    attempt.finish(outcome);
  }

  private static toRefusal(failure: ExchangeFailure): Refusal {
    const { cause, verdict, detail } = failure;
    if (cause === 'cancelled') return { kind: 'callerGone', verdict };
    if (verdict === 'notRun') {
      const kind = cause === 'timedOut' ? 'deadlineBeforeDispatch' : 'connectFailed';
      return { kind, verdict };
    }
    if (cause === 'timedOut') return { kind: 'upstreamTimeout', verdict };
    return { kind: 'upstreamFailed', verdict, detail: `${cause}: ${detail}` };
  }
}
