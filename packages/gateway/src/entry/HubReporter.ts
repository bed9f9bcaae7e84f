/** Reports outcomes, load, use of budgets and token requests of this entry to its hub. */
import type { MessageInitShape } from '@bufbuild/protobuf';
import type { Clock } from '@marigoldbank/base/clock';
import type { IDisposable } from '@marigoldbank/base/lifecycle';
import type { EntryReportSchema } from '@marigoldbank/protocol/gen/marigoldbank/v1/sync_pb';
import { parseRetryAfter } from '@marigoldbank/routing/TargetNotices';
import type { TargetInfo } from '@marigoldbank/routing/TargetTable';
import type { TargetOutcome } from '@marigoldbank/routing/TargetBelief';
import type { LimitStatement } from '@marigoldbank/routing/LimitTable';
import type { Logger } from '@marigoldbank/daemon/telemetry/Logger';
import { targetNoticesTotal } from '../metrics.js';
import { Batcher } from '../sync/Batcher.js';
import { EvidenceBuffer } from '../sync/EvidenceBuffer.js';
import { toLimitMessage } from '../sync/limit-codec.js';
import { SendWindow } from '../sync/SendWindow.js';
import type { EntryState } from './EntryState.js';

export type EntryReportInit = MessageInitShape<typeof EntryReportSchema>;

/** Failures, token requests and readiness are sent after the current turn of the event loop, all else in batches. */
const URGENT_FLUSH_MS = 0;
const FLUSH_MS = 60;

/** Minimum time to wait for a token before the entry decides itself. It waits longer if the request can. */
const MIN_TOKEN_TIMEOUT_MS = 250;

export type TokenResult =
  | { readonly kind: 'granted' }
  | { readonly kind: 'refused'; readonly retryAfterMs: number }
  /** The budget holder did not answer in time. */
  | { readonly kind: 'unanswered' };

interface ServiceUseCounts {
  requests: number;
  repeats: number;
}

export class HubReporter implements IDisposable {
  private readonly evidence = new EvidenceBuffer();

  private readonly uses = new Map<string, ServiceUseCounts>();

  private readonly teamUse = new Map<string, number>();

  private readonly limits = new Map<string, LimitStatement>();

  private readonly tokenRequests: { id: number; team: string }[] = [];

  private readonly pendingTokens = new Map<number, (result: TokenResult) => void>();

  private lastId = 0;

  private ready = false;

  private send: ((report: EntryReportInit) => void) | undefined;

  private readonly batcher: Batcher;

  private readonly window = new SendWindow();

  /** Whether something is to be sent that cannot wait for the next batch. */
  private isUrgent = false;

  /** Whether a report waits until the hub has handled an earlier one. */
  private isHeld = false;

  public constructor(
    private readonly clock: Clock,
    private readonly state: EntryState,
    private readonly logger: Logger,
  ) {
    this.batcher = new Batcher(clock, () => this.flushIfOpen());
  }

  /** Whether this entry is ready, as reported to the hub. It still serves requests for a while when it stops. */
  public get isReady(): boolean {
    return this.ready;
  }

  /** Sends reports to a new stream, starting with the load of this entry at all targets. */
  public attach(send: (report: EntryReportInit) => void): void {
    this.send = send;
    this.window.clear();
    this.state.targets
      .all()
      .filter(({ ownInFlight }) => ownInFlight > 0)
      .forEach(({ info }) => this.evidence.add(info.id, 0, 0, 0));
    this.flush();
  }

  public detach(): void {
    this.send = undefined;
  }

  public setReady(isReady: boolean): void {
    if (this.ready === isReady) return;
    this.ready = isReady;
    this.requestUrgent();
  }

  /** Reports that the number of requests in flight at a target has changed. */
  public recordLoadChange(id: string): void {
    this.evidence.add(id, 0, 0, 0);
    this.batcher.request(FLUSH_MS);
  }

  public recordOutcome(id: string, outcome: TargetOutcome): void {
    this.state.targets.observe(id, outcome, this.clock.now());
    this.evidence.add(
      id,
      outcome === 'succeeded' ? 1 : 0,
      outcome === 'failed' ? 1 : 0,
      outcome === 'suspect' ? 1 : 0,
    );
    if (outcome === 'succeeded') this.batcher.request(FLUSH_MS);
    else this.requestUrgent();
  }

  /** Records a failed connection to a target. Other entries may still reach it, so for them it is weak evidence. */
  public recordConnectFailure(id: string): void {
    this.state.targets.recordConnectFailure(id, this.clock.now());
    this.recordOutcome(id, 'suspect');
  }

  /** Records a timeout of a target, like a failed connection: perhaps only its responses to this entry are lost. */
  public recordTimeout(id: string): void {
    this.state.targets.recordConnectFailure(id, this.clock.now());
    this.recordOutcome(id, 'suspect');
  }

  /** Records what an answer of a target said about its limit: requests a second, or undefined for none. */
  public recordLimit(id: string, perSecond: number | undefined): void {
    const statement = { perSecond, at: this.clock.now() };
    if (!this.state.limits.note(id, statement)) return;
    this.limits.set(id, statement);
    this.requestUrgent();
  }

  /** Records that a target said that it leaves. */
  public recordLeaving(target: TargetInfo): void {
    if (!this.state.notices.noteLeaving(target, this.clock.now())) return;
    targetNoticesTotal.inc({ service: target.service, notice: 'leaving' });
    this.logger.info('target says that it leaves', { target: target.id });
  }

  /** Records that a target turned a request away with a time to come back, the value of its Retry-After header. */
  public recordPause(target: TargetInfo, retryAfter: string): void {
    const { id, service } = target;
    const pauseMs = parseRetryAfter(retryAfter, Date.now());
    if (pauseMs === undefined) {
      this.logger.warn('unreadable time to come back', {
        target: id,
        value: retryAfter.slice(0, 64),
      });
      return;
    }
    if (!this.state.notices.notePause(target, pauseMs, this.clock.now())) return;
    targetNoticesTotal.inc({ service, notice: 'pause' });
    this.logger.info('target wants a pause', { target: id, pauseMs: Math.round(pauseMs) });
  }

  /** Records that a target responded, so that it is reachable. */
  public recordConnected(id: string): void {
    this.state.targets.recordConnected(id);
  }

  /** Counts a request for a service. */
  public countRequest(service: string): void {
    this.count(service, 1, 0);
  }

  /** Counts a request that is sent to another target. */
  public countRetry(service: string): void {
    this.count(service, 0, 1);
  }

  /** Counts a request of a team that was admitted without a token. */
  public countTeamRequest(team: string): void {
    this.teamUse.set(team, (this.teamUse.get(team) ?? 0) + 1);
    this.batcher.request(FLUSH_MS);
  }

  /** Requests a token from the budget holder. */
  public requestToken(team: string, maxWaitMs: number): Promise<TokenResult> {
    if (this.send === undefined) return Promise.resolve({ kind: 'unanswered' });
    this.lastId += 1;
    const id = this.lastId;
    this.tokenRequests.push({ id, team });
    this.requestUrgent();
    return new Promise((resolve) => {
      const timer = this.clock.setTimeout(
        () => this.resolveToken(id, { kind: 'unanswered' }),
        Math.max(MIN_TOKEN_TIMEOUT_MS, maxWaitMs),
      );
      this.pendingTokens.set(id, (result) => {
        timer.dispose();
        resolve(result);
      });
    });
  }

  public resolveToken(id: number, result: TokenResult): void {
    const settle = this.pendingTokens.get(id);
    this.pendingTokens.delete(id);
    settle?.(result);
  }

  /** Notes the time in the last report that the hub has handled; 0 if it does not say. */
  public noteHandled(sentAtMs: number): void {
    this.window.noteHandled(sentAtMs);
    if (this.isHeld) this.flushIfOpen();
  }

  /** Sends all pending reports. Without any, the report serves as a heartbeat. */
  public flush(): void {
    if (this.send === undefined) return;
    this.isHeld = false;
    this.isUrgent = false;
    const sentAtMs = this.clock.now();
    this.window.noteSent(sentAtMs);
    const inFlightOf = (id: string): number => this.state.targets.get(id)?.ownInFlight ?? 0;
    this.send({
      sentAtMs,
      isReady: this.ready,
      evidence: this.evidence.take(inFlightOf),
      uses: [...this.uses].map(([service, use]) => ({ service, ...use })),
      teams: [...this.teamUse].map(([team, admitted]) => ({ team, admitted })),
      tokens: this.tokenRequests.splice(0),
      limits: [...this.limits].map(([id, limit]) => toLimitMessage(id, limit, this.clock.now())),
    });
    this.limits.clear();
    this.uses.clear();
    this.teamUse.clear();
  }

  public dispose(): void {
    this.batcher.dispose();
    this.detach();
  }

  private requestUrgent(): void {
    this.isUrgent = true;
    this.batcher.request(URGENT_FLUSH_MS);
  }

  /** Sends all pending reports unless the hub has not handled earlier ones, which would delay these as well. */
  private flushIfOpen(): void {
    if (this.window.isOpen(this.isUrgent)) this.flush();
    else this.isHeld = true;
  }

  private count(service: string, requests: number, retries: number): void {
    const use = this.uses.get(service) ?? { requests: 0, repeats: 0 };
    use.requests += requests;
    use.repeats += retries;
    this.uses.set(service, use);
    this.state.retryLimiter.count(service, requests, retries, this.clock.now());
    this.batcher.request(FLUSH_MS);
  }
}
