/** Processing steps of a proxied request: admission, body, claim, dispatch and response. */
import { randomUUID } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { delay } from '@marigoldbank/base/clock';
import type { CompiledRoute } from '@marigoldbank/lists/compiled';
import { ResponseSender } from './ResponseSender.js';
import type { ConfigSection } from '../Blackboard.js';
import type { CallerConnection } from './CallerConnection.js';
import { decodeOutcome, type StoredOutcome } from './responses.js';
import { CLAIM_STORE_WAIT_MS, CLAIM_WAIT_MS } from './constants.js';
import { RequestDispatcher } from './RequestDispatcher.js';
import { computeFingerprint } from './fingerprint.js';
import { selectRequestHeaders } from './headers.js';
import { verifyApiKey } from './keys.js';
import { readBody } from './readBody.js';
import type { Refusal } from './refusals.js';
import { RequestRecord } from './RequestRecord.js';
import type {
  AdmittedRequest,
  CheckedRequest,
  EntryContext,
  ServiceRouter,
  VerifiedKey,
} from './types.js';

type Admission =
  | {
      readonly kind: 'admitted';
      readonly route: CompiledRoute;
      readonly key: VerifiedKey | undefined;
      readonly router: ServiceRouter;
    }
  | { readonly kind: 'refused'; readonly refusal: Refusal };

type ClaimStep =
  | { readonly kind: 'proceed'; readonly request: AdmittedRequest }
  | { readonly kind: 'stored'; readonly outcome: StoredOutcome }
  | { readonly kind: 'refused'; readonly refusal: Refusal };

/** A caller request with its streams and connection. */
export interface Transaction {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  /** Sends `100 Continue` if the caller expects it. */
  readonly sendContinue: () => void;
  readonly connection: CallerConnection;
}

function refuse(refusal: Refusal): { kind: 'refused'; refusal: Refusal } {
  return { kind: 'refused', refusal };
}

/** Processes validated requests up to their response. */
export class ProxyPipeline {
  private readonly sender: ResponseSender;

  public constructor(
    private readonly ctx: EntryContext,
    isDraining: () => boolean,
  ) {
    this.sender = new ResponseSender(ctx, isDraining);
  }

  /** Processes one request. Never rejects. */
  public async handle(tx: Transaction, checked: CheckedRequest): Promise<void> {
    const record = new RequestRecord(this.ctx, randomUUID());
    const abort = new AbortController();
    tx.res.once('close', () => {
      if (!tx.res.writableFinished) abort.abort();
    });
    try {
      await this.process(tx, checked, record, abort.signal);
    } catch (err) {
      this.ctx.logger.error('request handler failed', {
        requestId: record.id,
        error: err instanceof Error ? (err.stack ?? err.message) : String(err),
      });
      const verdict = record.wasSent ? 'mayHaveRun' : 'notRun';
      await this.sender.refuse(tx, record, { kind: 'internalError', verdict });
    } finally {
      record.end();
    }
  }

  /** Responds to a request that failed validation. */
  public async refuse(tx: Transaction, refusal: Refusal): Promise<void> {
    const record = new RequestRecord(this.ctx, randomUUID());
    await this.sender.refuse(tx, record, refusal);
    record.end();
  }

  private async process(
    tx: Transaction,
    checked: CheckedRequest,
    record: RequestRecord,
    signal: AbortSignal,
  ): Promise<void> {
    const admission = this.admit(checked);
    if (admission.kind === 'refused') {
      await this.sender.refuse(tx, record, admission.refusal);
      return;
    }
    const { route, key, router } = admission;
    record.setRoute(route, key?.team);
    const body = await this.receiveBody(tx, checked, route);
    if (body.kind === 'refused') {
      await this.sender.refuse(tx, record, body.refusal);
      return;
    }
    const request = ProxyPipeline.toAdmitted(checked, admission, body.body, record, signal);
    if (router.pool.isQuarantined(request.fingerprint)) {
      await this.sender.refuse(tx, record, { kind: 'quarantined', verdict: 'notRun' });
      return;
    }
    const claimStep = await this.claim(request, checked.idempotencyKey);
    if (claimStep.kind === 'refused') {
      await this.sender.refuse(tx, record, claimStep.refusal);
    } else if (claimStep.kind === 'stored') {
      this.sender.sendStored(tx, record, claimStep.outcome);
    } else {
      await this.dispatch(tx, claimStep.request, router, record);
    }
  }

  private async dispatch(
    tx: Transaction,
    request: AdmittedRequest,
    router: ServiceRouter,
    record: RequestRecord,
  ): Promise<void> {
    const dispatcher = new RequestDispatcher(this.ctx, router, request);
    record.setDispatcher(dispatcher);
    const result = await dispatcher.run();
    if (result.kind === 'answered') {
      await this.sender.sendUpstreamResponse(tx, record, request, result);
      return;
    }
    if (result.refusal.verdict === 'notRun') await this.releaseClaim(request);
    await this.sender.refuse(tx, record, result.refusal);
  }

  /**
   * Checks route, API key and plan. An entry that is not current may not know the route or key yet, so it refuses with
   * `notCurrent` instead.
   */
  private admit(checked: CheckedRequest): Admission {
    const section = this.ctx.blackboard.config.value;
    if (section === undefined) return refuse({ kind: 'notReady', verdict: 'notRun' });
    const admission = this.admitWithConfig(section, checked);
    const isCurrent = this.ctx.clock.now() < this.ctx.blackboard.freshness.value.currentUntil;
    if (isCurrent || (admission.kind === 'admitted' && admission.key === undefined)) {
      return admission;
    }
    return refuse({ kind: 'notCurrent', verdict: 'notRun' });
  }

  private admitWithConfig(section: ConfigSection, checked: CheckedRequest): Admission {
    const match = section.lists.matchRoute(checked.method, checked.path);
    if (match.kind === 'notFound') return refuse({ kind: 'notFound', verdict: 'notRun' });
    if (match.kind === 'methodNotAllowed') {
      return refuse({ kind: 'methodNotAllowed', verdict: 'notRun', allowed: match.allowed });
    }
    const { route } = match;
    const router = this.ctx.findRouter(route.service);
    if (router === undefined) return refuse({ kind: 'noTarget', verdict: 'notRun' });
    if (!route.open) return ProxyPipeline.admitTeam(checked, section, route, router);
    if (checked.idempotencyKey !== undefined) {
      const detail = 'Idempotency-Key needs a route with a key';
      return refuse({ kind: 'badRequest', verdict: 'notRun', detail });
    }
    return { kind: 'admitted', route, key: undefined, router };
  }

  private static admitTeam(
    checked: CheckedRequest,
    section: ConfigSection,
    route: CompiledRoute,
    router: ServiceRouter,
  ): Admission {
    const key = verifyApiKey(checked.presentedKey, section);
    if (key === undefined) return refuse({ kind: 'unauthenticated', verdict: 'notRun' });
    if (!section.lists.isRouteAllowed(key.team, route.id)) {
      return refuse({ kind: 'forbidden', verdict: 'notRun' });
    }
    return { kind: 'admitted', route, key, router };
  }

  private async receiveBody(
    tx: Transaction,
    checked: CheckedRequest,
    route: CompiledRoute,
  ): Promise<{ kind: 'read'; body: Buffer } | { kind: 'refused'; refusal: Refusal }> {
    const tooLarge: Refusal = {
      kind: 'bodyTooLarge',
      verdict: 'notRun',
      limitBytes: route.maxBodyBytes,
    };
    if (!checked.hasBody) return { kind: 'read', body: Buffer.alloc(0) };
    if ((checked.contentLength ?? 0) > route.maxBodyBytes) return refuse(tooLarge);
    tx.sendContinue();
    const result = await readBody(tx.req, tx.connection, this.ctx.clock, {
      maxBytes: route.maxBodyBytes,
      idleTimeoutMs: this.ctx.limits.bodyIdleTimeoutMs,
      totalTimeoutMs: this.ctx.limits.bodyTimeoutMs,
    });
    if (result.kind === 'tooLarge') return refuse(tooLarge);
    if (result.kind === 'tooSlow') return refuse({ kind: 'requestTimeout', verdict: 'notRun' });
    if (result.kind === 'broken') {
      return refuse({ kind: 'badRequest', verdict: 'notRun', detail: 'the body is malformed' });
    }
    if (result.kind === 'aborted' || result.kind === 'noMemory') {
      return refuse({ kind: 'callerGone', verdict: 'notRun' });
    }
    if (checked.presentedKey !== undefined && result.body.includes(checked.presentedKey)) {
      return refuse({ kind: 'badRequest', verdict: 'notRun', detail: 'the body holds the key' });
    }
    return result;
  }

  private static toAdmitted(
    checked: CheckedRequest,
    admission: Admission & { kind: 'admitted' },
    body: Buffer,
    record: RequestRecord,
    signal: AbortSignal,
  ): AdmittedRequest {
    const { route, key } = admission;
    const target = checked.path + checked.query;
    const timeoutMs = Math.min(route.timeoutMs, checked.timeoutMs ?? Infinity);
    return {
      id: record.id,
      startedAt: record.startedAt,
      deadlineAt: record.startedAt + timeoutMs,
      method: checked.method,
      path: checked.path,
      target,
      route,
      key,
      headers: selectRequestHeaders(checked.headers, checked.presentedKey),
      body,
      fingerprint: computeFingerprint(key?.team ?? '', checked.method, target, body),
      signal,
      claim: undefined,
    };
  }

  private async claim(request: AdmittedRequest, idempotencyKey?: string): Promise<ClaimStep> {
    if (idempotencyKey === undefined || request.key === undefined) {
      return { kind: 'proceed', request };
    }
    const remainingMs = request.deadlineAt - this.ctx.clock.now();
    if (remainingMs <= 0) return refuse({ kind: 'deadlineBeforeDispatch', verdict: 'notRun' });
    const waitMs = Math.min(CLAIM_WAIT_MS, remainingMs);
    const { team } = request.key;
    const result = await this.ctx.claims.claim(team, idempotencyKey, request.fingerprint, waitMs);
    switch (result.kind) {
      case 'owned':
        return { kind: 'proceed', request: { ...request, claim: result.claim } };
      case 'completed': {
        const outcome = decodeOutcome(result.outcome);
        if (outcome !== undefined) return { kind: 'stored', outcome };
        return refuse({ kind: 'claimInProgress', verdict: 'mayHaveRun' });
      }
      case 'inProgress':
      case 'completedNotKept':
        return refuse({ kind: 'claimInProgress', verdict: 'mayHaveRun' });
      case 'mismatch':
        return refuse({ kind: 'claimMismatch', verdict: 'notRun' });
      default:
        return refuse({ kind: 'claimUnavailable', verdict: 'notRun', detail: result.reason });
    }
  }

  private async releaseClaim(request: AdmittedRequest): Promise<void> {
    if (request.claim === undefined) return;
    const released = request.claim.release().catch(() => {
      this.ctx.logger.warn('failed to release a claim', { requestId: request.id });
    });
    await Promise.race([released, delay(this.ctx.clock, CLAIM_STORE_WAIT_MS)]);
  }
}
