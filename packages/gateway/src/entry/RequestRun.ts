/** Sends one admitted request to targets until it has an answer, or none can be had. */
import type { Clock } from '@marigoldbank/base/clock';
import type { IDisposable } from '@marigoldbank/base/lifecycle';
import type { Route } from '@marigoldbank/routing/plan';
import { pickService } from '@marigoldbank/routing/RouteTable';
import { FAILING_THRESHOLD, type Selection } from '@marigoldbank/routing/TargetSelector';
import type { EntryBoard } from './EntryState.js';
import type { Reply } from './ErrorResponse.js';
import type { RequestHead } from './requestHead.js';
import { SendAttempt, type AttemptContext, type AttemptResult } from './SendAttempt.js';

/** Most sends of one request to targets that do not run it. */
const MAX_SENDS = 4;

/** A second target is asked when the first has taken this multiple of the expected duration. */
const HEDGE_DURATIONS = 2.2;

/** Second targets are asked no earlier than this share of the objective. */
const HEDGE_MIN_SHARE = 0.3;

/** A connection is tried no longer than the time left allows; less time is not worth a send. */
const MIN_SEND_MS = 15;

/** The exchange and the run time out at the same moment, and either timer may fire first. */
const TIMER_SLACK_MS = 5;

/** Priorities up to this one may use the whole allowance of repeats. */
const URGENT_PRIORITY = 1;

/** Connections to one target are divided among the entries, but each gets some. */
const MIN_CONNECTIONS = 4;

const FIRST_ERROR_STATUS = 500;

export type Answered = Extract<AttemptResult, { kind: 'answered' }>;

export type RunOutcome =
  | { readonly kind: 'answered'; readonly answer: Answered; readonly attempt: SendAttempt }
  | { readonly kind: 'refused'; readonly reply: Reply }
  | { readonly kind: 'callerGone' };

export interface RunRequest {
  readonly head: RequestHead;
  readonly body: Buffer;
  readonly route: Route;
  readonly team: string | undefined;
  /** Priority of the team, or of the route. */
  readonly priority: number;
  /** Monotonic ms at which the final answer is due. */
  readonly dueAt: number;
  /** Aborted when the caller has gone. */
  readonly signal: AbortSignal;
}

export interface RunContext extends AttemptContext {
  readonly clock: Clock;
  readonly board: EntryBoard;
  /** Data centre of this entry. */
  readonly dataCentre: string;
}

type Step =
  | { readonly kind: 'result'; readonly attempt: SendAttempt; readonly result: AttemptResult }
  | { readonly kind: 'stalled' }
  | { readonly kind: 'due' }
  | { readonly kind: 'gone' };

const NEVER = new Promise<Step>(() => {
  // Stands for an event that does not come.
});

/** What became of the attempts that failed, for the final reply. */
interface Failures {
  notRun: string;
  mayHaveRun: string | undefined;
  /** A target's own error response, the best there is if no other target answers. */
  error: { readonly answer: Answered; readonly attempt: SendAttempt } | undefined;
}

export class RequestRun {
  private readonly tried = new Set<string>();

  private readonly pending = new Map<SendAttempt, Promise<Step>>();

  private readonly failures: Failures = { notRun: '', mayHaveRun: undefined, error: undefined };

  private readonly service: string;

  /** Targets that may have run the request. */
  private runs = 0;

  private sends = 0;

  /** Sends that may have reached a target. Only those count against the retry budget. */
  private arrivals = 0;

  private hasStalled = false;

  public constructor(
    private readonly ctx: RunContext,
    private readonly req: RunRequest,
  ) {
    this.service = pickService(req.route, ctx.board.random.float());
  }

  /** Log fields: where the request went. */
  public get trace(): { service: string; targets: string; sends: number } {
    return { service: this.service, targets: [...this.tried].join(','), sends: this.sends };
  }

  public async run(): Promise<RunOutcome> {
    if (this.req.signal.aborted) return { kind: 'callerGone' };
    const first = this.select();
    if (first === undefined) return RequestRun.refused({ kind: 'noTarget', verdict: 'notRun' });
    const hopeless = this.findOverload(first);
    if (hopeless !== undefined) return RequestRun.refused(hopeless);
    const timers: IDisposable[] = [];
    const ended = this.endOfTime(timers);
    try {
      this.send(first);
      return await this.conclude(ended);
    } finally {
      timers.forEach((timer) => timer.dispose());
      this.pending.forEach((_, attempt) => attempt.cancel());
    }
  }

  /** Waits for attempts and starts further ones, until there is an outcome. */
  private async conclude(ended: Promise<Step>): Promise<RunOutcome> {
    while (this.pending.size > 0) {
      const stall = this.waitForStall();
      const step = await Promise.race([...this.pending.values(), ended, stall.step]);
      stall.timer?.dispose();
      if (step.kind === 'gone') return { kind: 'callerGone' };
      if (step.kind === 'due') return this.late();
      if (step.kind === 'stalled') this.hedge();
      if (step.kind === 'result') {
        const outcome = this.take(step.attempt, step.result);
        if (outcome !== undefined) return outcome;
      }
    }
    return this.exhausted();
  }

  /** Takes the result of an attempt; undefined if the run goes on. */
  private take(attempt: SendAttempt, result: AttemptResult): RunOutcome | undefined {
    this.pending.delete(attempt);
    if (result.kind === 'answered' && result.status < FIRST_ERROR_STATUS) {
      this.ctx.board.durationOf(this.req.route).observe(attempt.elapsedMs);
      return { kind: 'answered', answer: result, attempt };
    }
    if (result.kind === 'answered') this.failures.error = { answer: result, attempt };
    if (result.kind === 'mayHaveRun') this.failures.mayHaveRun = result.detail;
    if (result.kind === 'notRun') {
      this.runs -= 1;
      if (!result.wasSent) this.arrivals -= 1;
      this.failures.notRun = result.detail;
    }
    if (this.pending.size > 0) return undefined;
    const mayRepeat = result.kind === 'notRun' || this.isWorthRepeating(result);
    const next = mayRepeat ? this.selectFurther() : undefined;
    if (next !== undefined) this.send(next);
    return undefined;
  }

  /** An error of a target that seems sound was caused by the request, and another target would give it too. */
  private isWorthRepeating(result: AttemptResult): boolean {
    if (!this.req.route.isIdempotent) return false;
    if (result.kind !== 'answered') return true;
    return result.target.belief.failingProbability(this.ctx.clock.now()) > FAILING_THRESHOLD;
  }

  private exhausted(): RunOutcome {
    const { error, mayHaveRun } = this.failures;
    const isDue = this.ctx.clock.now() >= this.req.dueAt - TIMER_SLACK_MS;
    if (isDue && mayHaveRun !== undefined) return this.late();
    if (error !== undefined) return { kind: 'answered', ...error };
    if (mayHaveRun !== undefined) {
      const reply = { kind: 'upstreamFailed', verdict: 'mayHaveRun', detail: mayHaveRun } as const;
      return RequestRun.refused(reply);
    }
    return RequestRun.refused({
      kind: 'notSent',
      verdict: 'notRun',
      detail: this.failures.notRun,
    });
  }

  private late(): RunOutcome {
    return this.failures.error === undefined
      ? RequestRun.refused({ kind: 'timedOut', verdict: 'mayHaveRun' })
      : { kind: 'answered', ...this.failures.error };
  }

  /** Asks a second target while the first is silent. */
  private hedge(): void {
    [...this.pending.keys()].forEach((attempt) => attempt.noteStalled());
    if (!this.req.route.isIdempotent) return;
    const next = this.selectFurther();
    if (next !== undefined) this.send(next);
  }

  /** Fires once, when the only attempt takes much longer than expected. */
  private waitForStall(): { step: Promise<Step>; timer: IDisposable | undefined } {
    const [attempt] = [...this.pending.keys()];
    if (this.sends > 1 || attempt === undefined || this.hasStalled) {
      return { step: NEVER, timer: undefined };
    }
    const { expectedMs } = this.ctx.board.durationOf(this.req.route);
    const afterMs = Math.max(
      HEDGE_DURATIONS * expectedMs,
      HEDGE_MIN_SHARE * this.req.route.objectiveMs,
    );
    let timer: IDisposable | undefined;
    const step = new Promise<Step>((resolve) => {
      timer = this.ctx.clock.setTimeout(
        () => {
          this.hasStalled = true;
          resolve({ kind: 'stalled' });
        },
        Math.max(0, afterMs - attempt.elapsedMs),
      );
    });
    return { step, timer };
  }

  private endOfTime(timers: IDisposable[]): Promise<Step> {
    const { clock } = this.ctx;
    const { signal, dueAt } = this.req;
    return new Promise((resolve) => {
      const remainingMs = Math.max(0, dueAt - clock.now());
      timers.push(clock.setTimeout(() => resolve({ kind: 'due' }), remainingMs));
      const onAbort = (): void => resolve({ kind: 'gone' });
      signal.addEventListener('abort', onAbort, { once: true });
      timers.push({ dispose: () => signal.removeEventListener('abort', onAbort) });
      if (signal.aborted) onAbort();
    });
  }

  /** A request that would wait for a slot beyond its time is refused now, while the caller can still go elsewhere. */
  private findOverload(selection: Selection): Reply | undefined {
    const { route, dueAt } = this.req;
    const remainingMs = dueAt - this.ctx.clock.now();
    const { expectedMs } = this.ctx.board.durationOf(route);
    const neededMs = selection.waitMs + expectedMs;
    if (neededMs <= remainingMs) return undefined;
    return { kind: 'overloaded', verdict: 'notRun', retryAfterMs: Math.ceil(selection.waitMs) };
  }

  private select(): Selection | undefined {
    const { board, clock } = this.ctx;
    const { route, dueAt } = this.req;
    const now = clock.now();
    return board.selector.select(
      {
        service: this.service,
        canRetry: route.isIdempotent && this.sends === 0 && route.maxTargets > 1,
        dataCentre: this.ctx.dataCentre,
        excluded: this.tried,
        expectedMs: board.durationOf(route).expectedMs,
        remainingMs: dueAt - now,
      },
      now,
    );
  }

  /** A further target, if the route, the time left and the shared budget allow one. */
  private selectFurther(): Selection | undefined {
    const { board, clock } = this.ctx;
    const { route, dueAt, priority } = this.req;
    const now = clock.now();
    if (this.runs >= route.maxTargets || this.sends >= MAX_SENDS) return undefined;
    if (dueAt - now < MIN_SEND_MS) return undefined;
    if (this.arrivals === 0) return this.select();
    const isUrgent = priority <= URGENT_PRIORITY;
    const isConnected = board.isFollowing(now);
    if (!board.retries.mayRetry(this.service, isUrgent, board.entries, isConnected, now)) {
      return undefined;
    }
    return this.select();
  }

  private send({ target }: Selection): void {
    const { ctx, req } = this;
    const { board, names, reporter } = ctx;
    this.tried.add(target.info.id);
    if (this.sends === 0) reporter.countRequest(this.service);
    else if (this.arrivals > 0) reporter.countRepeat(this.service);
    this.sends += 1;
    this.arrivals += 1;
    this.runs += 1;
    const duration = board.durationOf(req.route);
    const service = board.table?.findService(this.service);
    const share = Math.floor((service?.maxConnections ?? 0) / board.entries);
    const attempt = new SendAttempt(
      ctx,
      target,
      {
        address: target.info.address,
        maxConnections: Math.max(MIN_CONNECTIONS, share),
        method: req.head.method,
        target: req.head.target,
        headers: [
          ...req.head.headers.flat(),
          names.expectedTarget,
          target.info.id,
          ...(req.team === undefined ? [] : [names.team, req.team]),
        ],
        body: req.body,
        requestId: req.head.requestId,
        deadlineAt: req.dueAt,
        signal: req.signal,
        checkDispatch: () => undefined,
      },
      () => duration.slowThresholdMs,
    );
    this.pending.set(
      attempt,
      attempt.result.then((result) => ({ kind: 'result', attempt, result })),
    );
  }

  private static refused(reply: Reply): RunOutcome {
    return { kind: 'refused', reply };
  }
}
