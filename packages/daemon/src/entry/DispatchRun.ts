/** Token, queue, target, attempts and retries of one request. */
import type { Reservation } from '@marigoldbank/budgets';
import type { AttemptOutcome } from '@marigoldbank/ejection';
import { bufferBody, type UpstreamAnswer } from './answers.js';
import { Attempt } from './Attempt.js';
import {
  HEADER_NOT_RUN,
  MAX_ROUNDS,
  MAX_SENDS,
  MAX_STORED_ANSWER_BYTES,
  OPEN_TEAM,
  TOKEN_WAIT_MS,
} from './constants.js';
import type { Refusal } from './refusals.js';
import type { AdmittedRequest, EntryContext, ServiceRouter, TargetPermit } from './types.js';
import type { FailureCause } from './ExchangeError.js';
import type { ExchangeFailure, ResponseHead } from './UpstreamExchange.js';

export type DispatchResult =
  /** `attempt` is absent when the answer is complete and its attempt was finished. */
  | {
      readonly kind: 'answered';
      readonly answer: UpstreamAnswer;
      readonly attempt: Attempt | undefined;
    }
  | { readonly kind: 'refused'; readonly refusal: Refusal };

type Step<T> =
  | { readonly kind: 'ok'; readonly value: T }
  | { readonly kind: 'refused'; readonly refusal: Refusal };

const RETRYABLE_STATUS = new Set([500, 502, 503, 504]);

const MS_PER_SECOND = 1_000;

const OUTCOMES: Record<FailureCause, AttemptOutcome> = {
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

function retryAfterMsOf(head: ResponseHead): number | undefined {
  const seconds = Number(head.headers['retry-after']);
  return Number.isInteger(seconds) && seconds >= 0 ? seconds * MS_PER_SECOND : undefined;
}

/** Carries one admitted request through its attempts. */
export class DispatchRun {
  /** Last target that was asked. */
  public target: string | undefined;

  public sends = 0;

  private readonly attempts: Attempt[] = [];

  private readonly tried = new Set<string>();

  private reservation: Reservation | undefined;

  /** True once an attempt ended without a verdict from the upstream. */
  private mayHaveRun = false;

  private hasLostConnection = false;

  /** Complete error answer of an earlier attempt, given if no later attempt does better. */
  private fallback: UpstreamAnswer | undefined;

  private lastRefusal: Refusal = { kind: 'noTarget', verdict: 'notRun' };

  public constructor(
    private readonly ctx: EntryContext,
    private readonly router: ServiceRouter,
    private readonly req: AdmittedRequest,
  ) {}

  /** Time spent at upstreams. */
  public get upstreamMs(): number {
    return this.attempts.reduce((sum, attempt) => sum + attempt.elapsedMs, 0);
  }

  public async run(): Promise<DispatchResult> {
    this.router.retries.recordRequest();
    try {
      return this.settle(await this.runRounds());
    } finally {
      this.reservation?.release();
    }
  }

  private async runRounds(): Promise<DispatchResult> {
    for (let round = 0; round < MAX_ROUNDS; round += 1) {
      const token = await this.reserve();
      if (token.kind === 'refused') return token;
      const permit = await this.acquire();
      if (permit.kind === 'refused') return permit;
      const result = await this.attempt(permit.value);
      if (result !== undefined) return result;
    }
    return refuse(this.lastRefusal);
  }

  /** A later refusal does not undo what an earlier attempt may have done. */
  private settle(result: DispatchResult): DispatchResult {
    if (result.kind === 'answered') return result;
    if (this.fallback !== undefined && result.refusal.kind !== 'callerGone') {
      return { kind: 'answered', answer: this.fallback, attempt: undefined };
    }
    if (!this.mayHaveRun || result.refusal.verdict !== 'notRun') return result;
    if (result.refusal.kind === 'callerGone') {
      return refuse({ kind: 'callerGone', verdict: 'mayHaveRun' });
    }
    const detail = `an earlier attempt may have run; then: ${result.refusal.kind}`;
    return refuse({ kind: 'upstreamFailed', verdict: 'mayHaveRun', detail });
  }

  /** Reserves a token unless one is left from an attempt that sent nothing. Each send uses its own token. */
  private async reserve(): Promise<Step<void>> {
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

  private async acquire(): Promise<Step<TargetPermit>> {
    const isIdempotent = this.req.route.idempotent;
    // Without an untried candidate the request would wait until its deadline.
    if (this.router.pool.candidateCount <= this.tried.size) return refuse(this.lastRefusal);
    // A retry has waited its turn. In the queue, a request that only some targets may serve would hold up the others.
    if (this.tried.size > 0) {
      const lease = this.router.pool.tryChoose({ isIdempotent, exclude: this.tried });
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
      // The queue also ends when the lists no longer have its service.
      const kind = this.req.signal.aborted ? 'callerGone' : 'noTarget';
      return refuse({ kind, verdict: 'notRun' });
    }
    if (outcome.kind === 'timedOut') {
      return refuse({ kind: 'deadlineBeforeDispatch', verdict: 'notRun' });
    }
    return this.withoutTried(outcome.permit);
  }

  /** Gives a permit for a target that was tried back: no other target has room. */
  private withoutTried(permit: TargetPermit): Step<TargetPermit> {
    if (!this.tried.has(permit.lease.target)) return { kind: 'ok', value: permit };
    permit.lease.finish('cancelled', 0);
    permit.dispose();
    this.router.queue.wake();
    return refuse(this.lastRefusal);
  }

  /** Runs one attempt. Undefined means that another round may follow. */
  private async attempt(permit: TargetPermit): Promise<DispatchResult | undefined> {
    const attempt = new Attempt(this.ctx, this.router, permit, this.req, this.reservation);
    this.attempts.push(attempt);
    this.target = attempt.target;
    const head = await attempt.exchange.head;
    if (attempt.exchange.isSent) {
      this.reservation = undefined;
      this.sends += 1;
    }
    if (head.kind === 'failed') return this.handleFailure(attempt, head);
    attempt.markHead();
    if (head.status === 503 && head.headers[HEADER_NOT_RUN] === '1') {
      return this.handleShed(attempt, head);
    }
    if (this.req.route.idempotent && RETRYABLE_STATUS.has(head.status)) {
      return this.handleErrorStatus(attempt, head);
    }
    const answer = { head, prefix: [], rest: attempt.exchange };
    return { kind: 'answered', answer, attempt };
  }

  private async handleShed(
    attempt: Attempt,
    head: ResponseHead,
  ): Promise<DispatchResult | undefined> {
    // Reading the short body keeps the connection.
    const body = await bufferBody(attempt.exchange, MAX_STORED_ANSWER_BYTES);
    if (body.kind === 'overflow') {
      attempt.exchange.abort('shed', 'the body of a refusal is too long');
    }
    this.close(attempt, 'shed');
    const refusal: Refusal = {
      kind: 'shed',
      verdict: 'notRun',
      retryAfterMs: retryAfterMsOf(head),
    };
    return this.retryOr(refusal, true);
  }

  private async handleErrorStatus(
    attempt: Attempt,
    head: ResponseHead,
  ): Promise<DispatchResult | undefined> {
    const body = await bufferBody(attempt.exchange, MAX_STORED_ANSWER_BYTES);
    if (body.kind === 'failed') return this.handleFailure(attempt, body.failure);
    if (body.kind === 'overflow') {
      const answer = { head, prefix: body.chunks, rest: attempt.exchange };
      return { kind: 'answered', answer, attempt };
    }
    this.close(attempt, 'failed');
    this.fallback = { head, prefix: body.chunks, rest: undefined };
    return this.retryOr(this.lastRefusal, true);
  }

  private handleFailure(attempt: Attempt, failure: ExchangeFailure): DispatchResult | undefined {
    this.close(attempt, OUTCOMES[failure.cause]);
    const isSent = failure.verdict === 'mayHaveRun';
    if (isSent) this.mayHaveRun = true;
    if (failure.cause === 'gate') return this.handleGate(failure);
    const refusal = DispatchRun.toRefusal(failure);
    if (failure.cause === 'cancelled' || failure.cause === 'timedOut') return refuse(refusal);
    // A request that crashes its upstream must not visit all of them.
    const isSecondLoss = failure.cause === 'connectionLost' && this.hasLostConnection;
    if (failure.cause === 'connectionLost') this.hasLostConnection = true;
    if (isSecondLoss) return refuse(refusal);
    return this.retryOr(refusal, isSent);
  }

  private handleGate(failure: ExchangeFailure): DispatchResult | undefined {
    const { gate } = failure;
    if (gate?.refusal !== undefined) return refuse(gate.refusal);
    if (gate?.kind === 'tokenExpired') this.reservation = undefined;
    this.lastRefusal = { kind: 'noTarget', verdict: 'notRun' };
    return undefined;
  }

  /** Undefined when another round may follow, else the refusal. Retries of sent requests come out of the budget. */
  private retryOr(refusal: Refusal, isSent: boolean): DispatchResult | undefined {
    this.lastRefusal = refusal;
    const isAllowed = !this.mayHaveRun || this.req.route.idempotent;
    if (!isAllowed || this.sends >= MAX_SENDS) return refuse(refusal);
    if (this.ctx.clock.now() >= this.req.deadlineAt) return refuse(refusal);
    if (isSent && !this.router.retries.tryRetry()) return refuse(refusal);
    return undefined;
  }

  private close(attempt: Attempt, outcome: AttemptOutcome): void {
    if (attempt.exchange.isSent || outcome === 'failed') this.tried.add(attempt.target);
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
