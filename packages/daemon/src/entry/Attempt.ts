/** One attempt to send a request to a target. */
import type { Reservation } from '@marigoldbank/budgets';
import type { AttemptOutcome } from '@marigoldbank/ejection';
import { checkDispatch } from './checkDispatch.js';
import { toUpstreamHeaders } from './headers.js';
import type { AdmittedRequest, EntryContext, ServiceRouter, TargetPermit } from './types.js';
import type { UpstreamExchange } from './UpstreamExchange.js';

/** Holds the lease of a target during an exchange and reports its outcome exactly once. */
export class Attempt {
  public readonly exchange: UpstreamExchange;

  private readonly startedAt: number;

  private headReceivedAt: number | undefined;

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
      maxConnections: this.connectionLimit(),
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

  /** Records the arrival of the response head, which determines the target's latency. */
  public markHeadReceived(): void {
    this.headReceivedAt = this.ctx.clock.now();
  }

  /** Reports the outcome and releases the slot at the target. */
  public finish(outcome: AttemptOutcome): void {
    if (this.endedAt !== undefined) return;
    this.endedAt = this.ctx.clock.now();
    const { fingerprint } = this.req;
    this.permit.lease.finish(outcome, (this.headReceivedAt ?? this.endedAt) - this.startedAt);
    if (outcome === 'connectionLost') this.router.pool.reportLost(fingerprint, this.target);
    if (outcome === 'succeeded') this.router.pool.reportSucceeded(fingerprint);
    this.ctx.metrics.attemptEnded(this.req.route.service, outcome);
    this.permit.dispose();
    this.router.queue.wake();
  }

  /** This entry's share of the target's connection limit, which is divided equally among all entries of the view. */
  private connectionLimit(): number {
    const entries = this.ctx.blackboard.config.value?.config.view.entries.length ?? 1;
    return Math.max(1, Math.floor(this.permit.lease.maxConnections / Math.max(1, entries)));
  }
}
