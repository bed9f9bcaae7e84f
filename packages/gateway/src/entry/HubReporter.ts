/** Reports outcomes, load, use of budgets and token requests of this entry to its hub. */
import type { MessageInitShape } from '@bufbuild/protobuf';
import type { Clock } from '@marigoldbank/base/clock';
import type { IDisposable } from '@marigoldbank/base/lifecycle';
import type { RequestLoss, SuspectStatement } from '@marigoldbank/routing/PoisonTable';
import type { EntryReportSchema } from '@marigoldbank/protocol/gen/marigoldbank/v1/sync_pb';
import { parseRetryAfter } from '@marigoldbank/routing/TargetNotices';
import type { TargetInfo } from '@marigoldbank/routing/TargetTable';
import type { TargetOutcome } from '@marigoldbank/routing/TargetBelief';
import type { LimitStatement } from '@marigoldbank/routing/LimitTable';
import type { Logger } from '@marigoldbank/daemon/telemetry/Logger';
import { quarantinesTotal, targetNoticesTotal } from '../metrics.js';
import { Batcher } from '../sync/Batcher.js';
import { EvidenceBuffer, type PaceDetail } from '../sync/EvidenceBuffer.js';
import { toLimitMessage } from '../sync/limit-codec.js';
import { SendWindow } from '../sync/SendWindow.js';
import { addServiceUse, earningRequests, type ServiceUseCounts } from '../sync/service-use.js';
import { toTeamUse } from '../sync/team-use.js';
import { toSuspectMessage, type SuspectRequestInit } from '../sync/suspect-codec.js';
import { takeReportFields, type EntryExtension } from './EntryExtension.js';
import type { EntryState } from './EntryState.js';
import { TargetCheck, type ITargetCheck } from './TargetCheck.js';

export type EntryReportInit = MessageInitShape<typeof EntryReportSchema>;

/** Failures, token requests and readiness are sent after the current turn of the event loop, all else in batches. */
const URGENT_FLUSH_MS = 0;
const FLUSH_MS = 60;

/** Time after a loss at which the target is checked, and for the check. The sockets of a process close in some ms. */
const CHECK_DELAY_MS = 30;
const CHECK_TIMEOUT_MS = 150;

/** Digits of a fingerprint in the log. */
const LOGGED_DIGITS = 16;

/** Minimum time to wait for a token before the entry decides itself. It waits longer if the request can. */
const MIN_TOKEN_TIMEOUT_MS = 250;

export type TokenResult =
  | { readonly kind: 'granted' }
  | { readonly kind: 'refused'; readonly retryAfterMs: number }
  /** The budget holder did not answer in time. */
  | { readonly kind: 'unanswered' };

export class HubReporter implements IDisposable {
  private readonly evidence = new EvidenceBuffer();

  private readonly uses = new Map<string, ServiceUseCounts>();

  private readonly teamUse = new Map<string, number>();

  private readonly limits = new Map<string, LimitStatement>();

  /** Fingerprints of which the hub is to be told what is known. */
  private readonly suspects = new Set<string>();

  private readonly tokenRequests: { id: number; team: string }[] = [];

  private readonly pendingTokens = new Map<number, (result: TokenResult) => void>();

  private lastId = 0;

  private ready = false;

  private readonly extensions: EntryExtension[] = [];

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
    private readonly targetCheck: ITargetCheck = new TargetCheck(CHECK_TIMEOUT_MS),
  ) {
    this.batcher = new Batcher(clock, () => this.flushIfOpen());
  }

  /** Whether this entry is ready, as reported to the hub. It still serves requests for a while when it stops. */
  public get isReady(): boolean {
    return this.ready;
  }

  /** Adds a part whose state is reported with the rest. */
  public addExtension(extension: EntryExtension): void {
    this.extensions.push(extension);
  }

  /** Schedules a report, at the latest after the usual time for batches. */
  public requestReport(): void {
    this.batcher.request(FLUSH_MS);
  }

  /** Sends reports to a new stream, starting with the load of this entry at all targets. */
  public attach(send: (report: EntryReportInit) => void): void {
    this.send = send;
    this.window.clear();
    this.extensions.forEach((extension) => extension.attached?.());
    this.state.targets
      .all()
      .filter(({ ownInFlight }) => ownInFlight > 0)
      .forEach(({ info }) => this.evidence.add(info.id, 0, 0, 0));
    // The hub before may not have been able to pass them on, and all hubs may have been restarted.
    this.state.suspects.statements().forEach((suspect) => this.suspects.add(suspect.fingerprint));
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

  public recordOutcome(id: string, outcome: TargetOutcome, pace?: PaceDetail): void {
    this.state.targets.observe(id, outcome, this.clock.now());
    this.evidence.add(
      id,
      outcome === 'succeeded' ? 1 : 0,
      outcome === 'failed' ? 1 : 0,
      outcome === 'suspect' ? 1 : 0,
    );
    if (pace !== undefined) this.evidence.addPace(id, pace);
    if (outcome === 'succeeded') this.batcher.request(FLUSH_MS);
    else this.requestUrgent();
  }

  /** Records a failed connection to a target. Other entries may still reach it, so for them it is weak evidence. */
  public recordConnectFailure(id: string): void {
    this.recordUnreachable(id);
  }

  /** Records a timeout of a target, like a failed connection: perhaps only its responses to this entry are lost. */
  public recordTimeout(id: string): void {
    this.recordUnreachable(id);
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

  /**
   * Records that the connection to a target was lost before it answered a request, which it may have ended. The hub is told
   * once the target was checked: each report costs all hubs time, and many targets reset connections without ending.
   */
  public recordLoss(fingerprint: string, target: TargetInfo, sentAt: number): void {
    const { clock, logger } = this;
    const { id, born = 0, address } = target;
    const loss = { target: id, born, sentAt, lostAt: clock.now(), isAccepting: false };
    logger.debug('request was lost at a target', {
      fingerprint: fingerprint.slice(0, LOGGED_DIGITS),
      target: id,
    });
    this.mergeSuspect({ fingerprint, losses: [loss], succeededAt: undefined });
    clock.setTimeout(() => {
      this.targetCheck
        .isAccepting(address)
        .catch((err: unknown) => {
          logger.warn('a target could not be checked', { target: id, error: String(err) });
          return false;
        })
        .then((isAccepting) => this.reportLoss(fingerprint, { ...loss, isAccepting }))
        .catch((err: unknown) => logger.error('a loss was not reported', { error: String(err) }));
    }, CHECK_DELAY_MS);
  }

  /** Records that a request has succeeded, so that it does not end targets. */
  public recordSuccess(fingerprint: string): void {
    if (!this.state.suspects.noteSuccess(fingerprint, this.clock.now())) return;
    this.suspects.add(fingerprint);
    this.batcher.request(FLUSH_MS);
  }

  /** Adds what the hub knows of a request. */
  public learnSuspect(statement: SuspectStatement): void {
    this.mergeSuspect(statement);
  }

  /** Records that a target responded, so that it is reachable. */
  public recordConnected(id: string): void {
    this.state.targets.recordConnected(id);
  }

  /** Counts a request that a caller has sent on a route to a service. */
  public countOffered(service: string): void {
    this.count(service, { requests: 0, repeats: 0, offered: 1 });
  }

  /** Counts a request that is sent to a target of a service. */
  public countRequest(service: string): void {
    this.count(service, { requests: 1, repeats: 0, ...this.noneOffered });
  }

  /** Counts a request that is sent to another target. */
  public countRetry(service: string): void {
    this.count(service, { requests: 0, repeats: 1, ...this.noneOffered });
  }

  /** Counts a request of a team that was admitted without a token. */
  public countTeamRequest(team: string): void {
    this.teamUse.set(team, (this.teamUse.get(team) ?? 0) + 1);
    this.batcher.request(FLUSH_MS);
  }

  /** Returns the token of a request of a team that was not run. */
  public returnToken(team: string): void {
    this.teamUse.set(team, (this.teamUse.get(team) ?? 0) - 1);
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
      ...takeReportFields(this.extensions),
      sentAtMs,
      isReady: this.ready,
      evidence: this.evidence.take(inFlightOf),
      uses: [...this.uses].map(([service, use]) => ({ service, ...use })),
      teams: [...this.teamUse].map(([team, used]) => toTeamUse(team, used)),
      tokens: this.tokenRequests.splice(0),
      limits: [...this.limits].map(([id, limit]) => toLimitMessage(id, limit, this.clock.now())),
      suspects: this.takeSuspects(),
    });
    this.limits.clear();
    this.uses.clear();
    this.teamUse.clear();
  }

  public dispose(): void {
    this.batcher.dispose();
    this.detach();
  }

  private reportLoss(fingerprint: string, loss: RequestLoss): void {
    this.mergeSuspect({ fingerprint, losses: [loss], succeededAt: undefined });
    this.suspects.add(fingerprint);
    if (this.state.suspects.isSuspected(fingerprint)) this.requestUrgent();
    else this.batcher.request(FLUSH_MS);
  }

  /** Merges what is known of a request, and logs if it is quarantined from now on. */
  private mergeSuspect(statement: SuspectStatement): void {
    const { fingerprint } = statement;
    const { suspects } = this.state;
    const now = this.clock.now();
    const wasRefused = suspects.quarantineMs(fingerprint, now) > 0;
    suspects.merge(statement, now);
    const quarantineMs = suspects.quarantineMs(fingerprint, now);
    if (!wasRefused && quarantineMs > 0) {
      quarantinesTotal.inc();
      this.logger.warn('request is refused from now on, targets ended under it', {
        fingerprint: fingerprint.slice(0, LOGGED_DIGITS),
        targets: (suspects.statementOf(fingerprint)?.losses ?? [])
          .map(({ target }) => target)
          .join(','),
        forMs: Math.round(quarantineMs),
      });
    }
  }

  private takeSuspects(): SuspectRequestInit[] {
    const taken = [...this.suspects].flatMap((fingerprint) => {
      const statement = this.state.suspects.statementOf(fingerprint);
      return statement === undefined ? [] : [toSuspectMessage(statement, this.clock.now())];
    });
    this.suspects.clear();
    return taken;
  }

  private recordUnreachable(id: string): void {
    const now = this.clock.now();
    this.state.targets.recordConnectFailure(id, now);
    this.state.limits.recordFailure(id, now);
    this.recordOutcome(id, 'suspect');
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

  private get noneOffered(): { readonly offered?: number } {
    return this.state.retryLimiter.countsOffered ? { offered: 0 } : {};
  }

  private count(service: string, counts: ServiceUseCounts): void {
    const known = this.uses.get(service);
    this.uses.set(service, known === undefined ? counts : addServiceUse(known, counts));
    const { retryLimiter } = this.state;
    retryLimiter.count(service, earningRequests(counts), counts.repeats, this.clock.now());
    this.batcher.request(FLUSH_MS);
  }
}
