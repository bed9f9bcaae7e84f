/** Data of one request for its log line and metrics. */
import { toWireVerdict, type Verdict } from '@marigoldbank/base/verdict';
import type { CompiledRoute } from '@marigoldbank/lists/compiled';
import type { RequestDispatcher } from './RequestDispatcher.js';
import type { EntryContext } from './types.js';

const NONE = 'none';
const MS_DECIMALS = 2;

/** Collects the data of a request and reports it once, when the request ends. */
export class RequestRecord {
  public readonly startedAt: number;

  private route: CompiledRoute | undefined;

  private team: string | undefined;

  private dispatcher: RequestDispatcher | undefined;

  private status: number | undefined;

  private verdict: Verdict | undefined;

  private reason = 'internalError';

  private hasEnded = false;

  public constructor(
    private readonly ctx: EntryContext,
    public readonly id: string,
  ) {
    this.startedAt = ctx.clock.now();
    ctx.metrics.requestStarted();
  }

  /** True once the request was sent to an upstream, so that it may have run. */
  public get wasSent(): boolean {
    return this.dispatcher !== undefined && this.dispatcher.sends > 0;
  }

  public setRoute(route: CompiledRoute, team: string | undefined): void {
    this.route = route;
    this.team = team;
  }

  public setDispatcher(dispatcher: RequestDispatcher): void {
    this.dispatcher = dispatcher;
  }

  /** Sets how the request ended. */
  public setOutcome(status: number, verdict: Verdict, reason: string): void {
    this.status = status;
    this.verdict = verdict;
    this.reason = reason;
  }

  /** Writes the log line and the metrics. Later calls have no effect. */
  public end(): void {
    if (this.hasEnded) return;
    this.hasEnded = true;
    const durationMs = this.ctx.clock.now() - this.startedAt;
    this.ctx.metrics.requestEnded({
      service: this.route?.service ?? NONE,
      team: this.team ?? NONE,
      outcome: this.reason,
      durationMs,
      addedMs: this.wasSent ? durationMs - (this.dispatcher?.upstreamMs ?? 0) : undefined,
    });
    if (!this.ctx.logger.isEnabled('info')) return;
    this.ctx.logger.info('request', {
      requestId: this.id,
      team: this.team,
      route: this.route?.id,
      upstream: this.dispatcher?.target,
      sends: this.dispatcher?.sends,
      status: this.status,
      verdict: this.verdict === undefined ? undefined : toWireVerdict(this.verdict),
      reason: this.reason,
      durationMs: Number(durationMs.toFixed(MS_DECIMALS)),
    });
  }
}
