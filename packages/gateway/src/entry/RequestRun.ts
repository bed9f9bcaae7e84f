/** Sends one admitted request to targets until one responds or no further attempt is possible. */
import type { IDisposable } from '@marigoldbank/base/lifecycle';
import { USUAL_PACE } from '@marigoldbank/routing/load/TargetPaces';
import { pickService } from '@marigoldbank/routing/RouteTable';
import { FAILING_THRESHOLD, type Selection } from '@marigoldbank/routing/TargetSelector';
import type { TargetState } from '@marigoldbank/routing/TargetTable';
import { onAborted } from './abort.js';
import { CapacityTurn } from './CapacityTurn.js';
import { countHeldBack } from './held-back.js';
import { stoppingError, type ErrorResponse } from './ErrorResponse.js';
import { noTargetError, overloadError } from './refusals.js';
import type { Failures, RunContext, RunOutcome, RunRequest } from './run-types.js';
import { NEVER, type RunEvent } from './run-events.js';
import { RequestTraffic } from './RequestTraffic.js';
import { isRetryAllowed, mayProbe } from './retry-decisions.js';
import { servedOutcomeOf } from './served-outcome.js';
import { SendAttempt, type AttemptResult } from './SendAttempt.js';
import { watchForStall } from './stall.js';
import { toUpstreamRequest } from './upstream-request.js';

/** Maximum number of attempts for one request, including those that targets did not run. */
const MAX_SENDS = 4;

/** Minimum time left for another attempt. Connecting is limited to the time left, and less is not worth it. */
const MIN_SEND_MS = 15;

/**
 * A run that fails this close to the deadline counts as timed out if a target may have run the request: the exchange
 * with the target has the same deadline, and its timer may fire first.
 */
const TIMER_SLACK_MS = 5;

/** The connections to one target are divided among the entries, but each may open at least this many. */
const MIN_CONNECTIONS = 4;

const FIRST_ERROR_STATUS = 500;

export class RequestRun {
  private readonly triedTargets = new Set<string>();

  private readonly pending = new Map<SendAttempt, Promise<RunEvent>>();

  private readonly failures: Failures = {
    notRun: '',
    mayHaveRun: undefined,
    errorResponse: undefined,
  };

  private readonly service: string;

  private readonly traffic: RequestTraffic;

  /** Undefined if requests do not wait for slots. */
  private readonly turn: CapacityTurn | undefined;

  /** Number of targets that may have run the request. */
  private possibleRuns = 0;

  private sends = 0;

  /** Number of attempts that may have reached a target. Further ones use the retry budget only if this is above 0. */
  private possibleArrivals = 0;

  private hasReportedStall = false;

  /** Whether the last target rejected the request for lack of room. */
  private isOutOfRoom = false;

  private hasGivenUp = false;

  private onGiveUp: (() => void) | undefined;

  public constructor(
    private readonly ctx: RunContext,
    private readonly req: RunRequest,
  ) {
    this.service = req.service ?? pickService(req.route, ctx.state.random.float());
    this.traffic = new RequestTraffic(ctx.dataCentre, ctx.state.serviceBytes);
    this.turn = CapacityTurn.create(ctx, req, {
      select: (among) => (this.mayPassOn() ? this.select(among) : undefined),
      send: (selection) => this.send(selection),
      timing: () => ({ service: this.service, dueAt: this.dueAt, expectedMs: this.expectedMs }),
    });
  }

  /** Log fields about the targets that the request was sent to. */
  public get trace(): { service: string; targets: string; sends: number } {
    return { service: this.service, targets: [...this.triedTargets].join(','), sends: this.sends };
  }

  public async run(): Promise<RunOutcome> {
    const outcome = await this.findOutcome();
    const { state, clock } = this.ctx;
    if (outcome.kind !== 'callerGone') {
      state.servedShares.note(this.service, servedOutcomeOf(outcome), clock.now());
    }
    return this.turn?.withReturnTime(outcome) ?? outcome;
  }

  private async findOutcome(): Promise<RunOutcome> {
    if (this.req.signal.aborted) return { kind: 'callerGone' };
    if (!this.mayPassOn()) return this.refusedByStop();
    const first = this.select();
    if (first === undefined) {
      this.ctx.state.rankedAdmission?.noteUnplaced(this.service);
      return RequestRun.refused(this.findNoTarget());
    }
    const overload = this.overload(first);
    if (overload !== undefined) return RequestRun.refused(overload);
    const timers: IDisposable[] = [];
    const ended = this.waitForEnd(timers);
    try {
      if (this.turn === undefined) this.send(first);
      else if ((await this.turn.start(first, ended)) !== 'started') return this.notStarted();
      return await this.awaitOutcome(ended);
    } finally {
      timers.forEach((timer) => timer.dispose());
      this.pending.forEach((_, attempt) => {
        attempt.cancel();
        this.ctx.state.rankedAdmission?.noteCancelled(attempt.target);
      });
    }
  }

  /** Ends the run with what is known: the process stops, and an answer of a target could not be passed on any more. */
  public giveUp(): void {
    this.hasGivenUp = true;
    this.onGiveUp?.();
  }

  /** Waits for attempts and starts further ones until there is an outcome. */
  private async awaitOutcome(ended: Promise<RunEvent>): Promise<RunOutcome> {
    while (this.pending.size > 0) {
      const stall = this.waitForStall();
      const event = await Promise.race([...this.pending.values(), ended, stall.event]);
      stall.timer?.dispose();
      if (event.kind === 'gone') return { kind: 'callerGone' };
      if (event.kind === 'due') return this.timedOutOutcome();
      if (event.kind === 'stopped') return this.stoppedOutcome();
      if (event.kind === 'stalled') this.hedge();
      if (event.kind === 'result') {
        const outcome = this.handleResult(event.attempt, event.result);
        if (outcome !== undefined) return outcome;
      }
    }
    return this.failedOutcome();
  }

  /** Handles the result of an attempt. Returns undefined if the run continues. */
  private handleResult(attempt: SendAttempt, result: AttemptResult): RunOutcome | undefined {
    this.pending.delete(attempt);
    this.recordLossOrSuccess(attempt, result);
    const { rankedAdmission } = this.ctx.state;
    this.isOutOfRoom = rankedAdmission?.noteEnded(result, this.ctx.clock.now()) ?? false;
    if (result.kind === 'answered') this.traffic.countAnswer(result);
    if (result.kind === 'answered' && result.status < FIRST_ERROR_STATUS) {
      this.ctx.state.durationEstimateOf(this.req.route).observe(attempt.elapsedMs);
      this.ctx.state.capacity?.slotFreed(attempt.target);
      return { kind: 'answered', response: result, attempt };
    }
    if (result.kind === 'answered') this.failures.errorResponse = { response: result, attempt };
    if (result.kind === 'mayHaveRun') this.failures.mayHaveRun = result.detail;
    if (result.kind === 'notRun') {
      this.possibleRuns -= 1;
      if (!result.wasSent) this.possibleArrivals -= 1;
      this.turn?.noteRejection({ hadFreeSlot: attempt.hadFreeSlot, wasSent: result.wasSent });
      this.failures.notRun = result.detail;
    }
    if (this.pending.size > 0) return undefined;
    const mayRetry = result.kind === 'notRun' || this.isWorthRetrying(result);
    const next = mayRetry ? this.selectNext() : undefined;
    if (next !== undefined && !this.isTooLate(next)) this.send(next);
    return undefined;
  }

  private recordLossOrSuccess(attempt: SendAttempt, result: AttemptResult): void {
    const { reporter, state } = this.ctx;
    if (result.kind === 'mayHaveRun' && result.isLost) {
      reporter.recordLoss(this.req.fingerprint(), attempt.target.info, attempt.startedAt);
    }
    const isSuccess = result.kind === 'answered' && result.status < FIRST_ERROR_STATUS;
    if (isSuccess && !state.suspects.isEmpty) reporter.recordSuccess(this.req.fingerprint());
  }

  /** Errors of a target that seems healthy are not retried: most likely the request caused them and would again. */
  private isWorthRetrying(result: AttemptResult): boolean {
    if (!this.req.route.isIdempotent) return false;
    if (result.kind !== 'answered') return true;
    return result.target.belief.failingProbability(this.ctx.clock.now()) > FAILING_THRESHOLD;
  }

  private failedOutcome(): RunOutcome {
    const { errorResponse, mayHaveRun } = this.failures;
    const isDue = this.ctx.clock.now() >= this.dueAt - TIMER_SLACK_MS;
    if (isDue && mayHaveRun !== undefined) return this.timedOutOutcome();
    if (errorResponse !== undefined) return { kind: 'answered', ...errorResponse };
    if (mayHaveRun !== undefined) {
      const failed = { kind: 'upstreamFailed', verdict: 'mayHaveRun', detail: mayHaveRun } as const;
      return RequestRun.refused(failed);
    }
    if (!this.isOutOfRoom) this.ctx.state.rankedAdmission?.noteUnplaced(this.service);
    if (this.ctx.state.shutdown.isStopping) return this.refusedByStop();
    return RequestRun.refused({
      kind: 'notSent',
      verdict: 'notRun',
      detail: this.failures.notRun,
    });
  }

  private timedOutOutcome(): RunOutcome {
    return this.failures.errorResponse === undefined
      ? RequestRun.refused({ kind: 'timedOut', verdict: 'mayHaveRun' })
      : { kind: 'answered', ...this.failures.errorResponse };
  }

  /** Cancels the attempts. Only those that were not sent are known not to have run. */
  private async stoppedOutcome(): Promise<RunOutcome> {
    const results = [...this.pending.values()];
    this.pending.forEach((_, attempt) => attempt.cancel());
    const events = await Promise.all(results);
    const [outcome] = events.flatMap((event) =>
      event.kind === 'result' ? (this.handleResult(event.attempt, event.result) ?? []) : [],
    );
    if (outcome !== undefined) return outcome;
    return this.failures.mayHaveRun === undefined ? this.failedOutcome() : this.timedOutOutcome();
  }

  private refusedByStop(): RunOutcome {
    return RequestRun.refused(stoppingError(!this.ctx.state.addresses.isEmpty));
  }

  /** Deadline of the final response in monotonic ms, which a planned stop may bring forward. */
  private get dueAt(): number {
    return this.ctx.state.shutdown.deadlineOf(this.req.dueAt);
  }

  /** Whether the request can be answered before the process ends, if it does. */
  private mayPassOn(): boolean {
    const { state, clock } = this.ctx;
    const { route, dueAt } = this.req;
    const { expectedMs } = state.durationEstimateOf(route);
    const { isIdempotent } = route;
    return state.shutdown.mayPassOn({ isIdempotent, dueAt, expectedMs }, clock.now());
  }

  /** Reports the pending target as slow. If the route is idempotent, also sends the request to a second one. */
  private hedge(): void {
    [...this.pending.keys()].forEach((attempt) => attempt.recordStall());
    if (!this.req.route.isIdempotent) return;
    const next = this.selectNext();
    const hasToWait = this.turn !== undefined && (next?.waitMs ?? 0) > 0;
    if (next !== undefined && !hasToWait) this.send(next);
  }

  /** Returns an event that occurs once in a run, when the only attempt takes much longer than expected. */
  private waitForStall(): { event: Promise<RunEvent>; timer: IDisposable | undefined } {
    const [attempt] = [...this.pending.keys()];
    if (this.sends > 1 || attempt === undefined || this.hasReportedStall) {
      return { event: NEVER, timer: undefined };
    }
    const { expectedMs } = this;
    const { objectiveMs } = this.req.route;
    let timer: IDisposable | undefined;
    const event = new Promise<RunEvent>((resolve) => {
      timer = watchForStall(this.ctx.clock, attempt, { expectedMs, objectiveMs }, () => {
        this.hasReportedStall = true;
        resolve({ kind: 'stalled' });
      });
    });
    return { event, timer };
  }

  /** Resolves at the deadline, when the caller has disconnected, or when the run is given up. */
  private waitForEnd(timers: IDisposable[]): Promise<RunEvent> {
    const { clock } = this.ctx;
    const { signal } = this.req;
    const { dueAt } = this;
    return new Promise((resolve) => {
      this.onGiveUp = () => resolve({ kind: 'stopped' });
      const remainingMs = Math.max(0, dueAt - clock.now());
      timers.push(clock.setTimeout(() => resolve({ kind: 'due' }), remainingMs));
      timers.push(onAborted(signal, () => resolve({ kind: 'gone' })));
    });
  }

  /** Expected duration of the request at a healthy target, in ms. */
  private get expectedMs(): number {
    return this.ctx.state.durationEstimateOf(this.req.route).expectedMs;
  }

  private overload({ target, waitMs }: Selection): ErrorResponse | undefined {
    const now = this.ctx.clock.now();
    const { pace } = this.ctx.state.capacity?.paces.paceOf(target.info, now) ?? USUAL_PACE;
    const error = overloadError(waitMs, this.expectedMs * pace, this.dueAt - now);
    if (error !== undefined) this.turn?.noteWithoutSlot();
    return error;
  }

  /** Whether a further attempt would most likely miss the deadline. */
  private isTooLate(next: Selection): boolean {
    return this.turn !== undefined && this.overload(next) !== undefined;
  }

  /** The outcome of a request that waited for a slot and was not sent. */
  private notStarted(): RunOutcome {
    if (this.req.signal.aborted) return { kind: 'callerGone' };
    if (this.hasGivenUp) return this.refusedByStop();
    return RequestRun.refused({ kind: 'overloaded', verdict: 'notRun', retryAfterMs: 0 });
  }

  private findNoTarget(): ErrorResponse {
    return noTargetError(this.ctx.state, this.service, this.ctx.clock.now());
  }

  private select(among?: readonly TargetState[]): Selection | undefined {
    const { state, clock } = this.ctx;
    const now = clock.now();
    const unused = among === undefined ? this.pickUnused(now) : undefined;
    const selection = this.selectAmong(unused ?? among, now);
    // The unused target may have a limit.
    const chosen = selection ?? (unused === undefined ? undefined : this.selectAmong(among, now));
    countHeldBack(state.limits, this.service, chosen !== undefined);
    return chosen;
  }

  /** An unused target that gets this request, so that enough targets are in use; undefined for the usual choice. */
  private pickUnused(now: number): readonly TargetState[] | undefined {
    if (this.sends > 0) return undefined;
    const { state, dataCentre } = this.ctx;
    const picked = state.pickUnused(this.service, dataCentre, now);
    return picked === undefined ? undefined : [picked];
  }

  private selectAmong(
    among: readonly TargetState[] | undefined,
    now: number,
  ): Selection | undefined {
    const { state, upstream } = this.ctx;
    const { route } = this.req;
    const { dueAt } = this;
    return state.selector.select(
      {
        service: this.service,
        canRetry: route.isIdempotent && this.sends === 0 && route.maxTargets > 1,
        mayProbe: mayProbe(state, this.service, now),
        dataCentre: this.ctx.dataCentre,
        excluded: this.triedTargets,
        expectedMs: state.durationEstimateOf(route).expectedMs,
        remainingMs: dueAt - now,
        hasIdleConnection: (address) => upstream.hasIdleConnection(address),
        paces: state.capacity?.paces,
        among,
      },
      now,
    );
  }

  /** Selects a further target if the limits of the route, the time left and the retry budget allow one. */
  private selectNext(): Selection | undefined {
    const { state, clock } = this.ctx;
    const { route } = this.req;
    const now = clock.now();
    if (this.hasGivenUp || !this.mayPassOn()) return undefined;
    if (this.possibleRuns >= route.maxTargets || this.sends >= MAX_SENDS) return undefined;
    if (this.dueAt - now < MIN_SEND_MS) return undefined;
    if (this.possibleArrivals === 0) return this.select();
    if (this.isSuspected()) return undefined;
    return isRetryAllowed(
      state,
      this.req,
      { service: this.service, expectedMs: this.expectedMs },
      now,
    )
      ? this.select()
      : undefined;
  }

  /** Whether targets may have ended under the request, so that it is not sent to a further one on its own account. */
  private isSuspected(): boolean {
    const { suspects } = this.ctx.state;
    return !suspects.isEmpty && suspects.isSuspected(this.req.fingerprint());
  }

  private send({ target, waitMs }: Selection): void {
    const { ctx, req } = this;
    const { state, reporter } = ctx;
    this.triedTargets.add(target.info.id);
    this.traffic.countRequest(target, req.body.length, this.sends === 0);
    state.limits.spend(target.info.id, ctx.clock.now());
    if (this.sends === 0) reporter.countRequest(this.service);
    else if (this.possibleArrivals > 0) reporter.countRetry(this.service);
    this.sends += 1;
    this.possibleArrivals += 1;
    this.possibleRuns += 1;
    const duration = state.durationEstimateOf(req.route);
    const service = state.currentRouteTable?.findService(this.service);
    const share = Math.floor((service?.maxConnections ?? 0) / state.entryCount);
    const attempt = new SendAttempt(
      ctx,
      target,
      toUpstreamRequest(ctx, req, target.info, {
        maxConnections: Math.max(MIN_CONNECTIONS, share),
        deadlineAt: this.dueAt,
      }),
      () => duration.slowThresholdMs,
      req.route.isIdempotent,
      state.capacity?.expectationOf(target, waitMs, duration.expectedMs),
    );
    this.pending.set(
      attempt,
      attempt.result.then((result) => ({ kind: 'result', attempt, result })),
    );
  }

  private static refused(error: ErrorResponse): RunOutcome {
    return { kind: 'refused', error };
  }
}
