/** One attempt of a request at one target. */
import type { Reservation } from '@marigoldbank/budgets';
import type { AttemptOutcome } from '@marigoldbank/ejection';
import { checkDispatch } from './DispatchGate.js';
import { toUpstreamHeaders } from './headers.js';
import type { AdmittedRequest, EntryContext, ServiceRouter, TargetPermit } from './types.js';
import type { UpstreamExchange } from './UpstreamExchange.js';

/** Holds the lease of a target for the time of an exchange, and reports its outcome exactly once. */
export class Attempt {
  public readonly exchange: UpstreamExchange;

  private readonly startedAt: number;

  private headAt: number | undefined;

  private endedAt: number | undefined;

  public constructor(
    private readonly ctx: EntryContext,
    private readonly router: ServiceRouter,
    private readonly permit: TargetPermit,
    private readonly req: AdmittedRequest,
    reservation: Reservation | undefined,
  ) {
    this.startedAt = ctx.clock.now();
    const { lease } = permit;
    this.exchange = ctx.upstream.send({
      address: lease.address,
      maxConnections: this.connectionBound(),
      method: req.method,
      target: req.target,
      headers: toUpstreamHeaders(req.headers, req.id, req.key?.team),
      body: req.body,
      requestId: req.id,
      deadlineAt: req.deadlineAt,
      signal: req.signal,
      checkDispatch: () => checkDispatch(ctx, router.pool, req, lease, reservation),
    });
  }

  public get target(): string {
    return this.permit.lease.target;
  }

  /** Milliseconds from the start of the attempt to its end, or to now. */
  public get elapsedMs(): number {
    return (this.endedAt ?? this.ctx.clock.now()) - this.startedAt;
  }

  /** The head of the response has come: the latency of the target is known. */
  public markHead(): void {
    this.headAt = this.ctx.clock.now();
  }

  /** Reports the outcome and gives the place at the target back. */
  public finish(outcome: AttemptOutcome): void {
    if (this.endedAt !== undefined) return;
    this.endedAt = this.ctx.clock.now();
    const { fingerprint } = this.req;
    this.permit.lease.finish(outcome, (this.headAt ?? this.endedAt) - this.startedAt);
    if (outcome === 'connectionLost') this.router.pool.reportLost(fingerprint, this.target);
    if (outcome === 'succeeded') this.router.pool.reportSucceeded(fingerprint);
    this.ctx.metrics.attemptEnded(this.req.route.service, outcome);
    this.permit.dispose();
    this.router.queue.wake();
  }

  /** The target's connections are divided among all entries of the view. */
  private connectionBound(): number {
    const entries = this.ctx.blackboard.config.value?.config.view.entries.length ?? 1;
    return Math.max(1, Math.floor(this.permit.lease.maxConnections / Math.max(1, entries)));
  }
}
