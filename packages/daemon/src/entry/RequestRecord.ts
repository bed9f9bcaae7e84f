/** What is known of one request, for its log line and metrics. */
import { toWireVerdict, type Verdict } from '@marigoldbank/base/verdict';
import type { CompiledRoute } from '@marigoldbank/lists/compiled';
import type { DispatchRun } from './DispatchRun.js';
import type { EntryContext } from './types.js';

const NONE = 'none';
const MS_DECIMALS = 2;

/** Collects facts of a request and reports them once at its end. */
export class RequestRecord {
  public readonly startedAt: number;

  private route: CompiledRoute | undefined;

  private team: string | undefined;

  private run: DispatchRun | undefined;

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

  /** True when the request may have run without a known outcome. */
  public get isUncertain(): boolean {
    return this.run !== undefined && this.run.sends > 0;
  }

  public setRoute(route: CompiledRoute, team: string | undefined): void {
    this.route = route;
    this.team = team;
  }

  public setRun(run: DispatchRun): void {
    this.run = run;
  }

  /** Sets how the request ended. */
  public setOutcome(status: number, verdict: Verdict, reason: string): void {
    this.status = status;
    this.verdict = verdict;
    this.reason = reason;
  }

  /** Writes the log line and the metrics. */
  public end(): void {
    if (this.hasEnded) return;
    this.hasEnded = true;
    const durationMs = this.ctx.clock.now() - this.startedAt;
    this.ctx.metrics.requestEnded({
      service: this.route?.service ?? NONE,
      team: this.team ?? NONE,
      outcome: this.reason,
      durationMs,
      addedMs: this.isUncertain ? durationMs - (this.run?.upstreamMs ?? 0) : undefined,
    });
    if (!this.ctx.logger.isEnabled('info')) return;
    this.ctx.logger.info('request', {
      requestId: this.id,
      team: this.team,
      route: this.route?.id,
      upstream: this.run?.target,
      sends: this.run?.sends,
      status: this.status,
      verdict: this.verdict === undefined ? undefined : toWireVerdict(this.verdict),
      reason: this.reason,
      durationMs: Number(durationMs.toFixed(MS_DECIMALS)),
    });
  }
}
