/** HTTP server for callers: handles a request from its head to the final response. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { Server as NetServer } from 'node:net';
import type { Duplex } from 'node:stream';
import { CallerConnection } from '@marigoldbank/daemon/entry/CallerConnection';
import { parseAddress } from '@marigoldbank/daemon/transport/InternalServer';
import type { Route, Team } from '@marigoldbank/routing/plan';
import { pickService, type RouteTable } from '@marigoldbank/routing/RouteTable';
import { requestSeconds, requestsTotal } from '../metrics.js';
import { ActiveRequests } from './ActiveRequests.js';
import { BodyReader, type BodyContext, DEFAULT_DEADLINE_MS, timeoutOf } from './BodyReader.js';
import { createCallerHttpServer, IDLE_MARGIN_MS, INITIAL_LIMITS } from './caller-http-server.js';
import { ConnectionTracker } from './ConnectionTracker.js';
import { ResponseWriter, type Transaction } from './ResponseWriter.js';
import { encodeErrorResponse, stoppingError, type ErrorResponse } from './ErrorResponse.js';
import type { PlanRefresher } from './PlanRefresher.js';
import { PlanWait } from './PlanWait.js';
import { makeFingerprint, quarantineError } from './quarantine.js';
import type { RequestLog } from './RequestLog.js';
import { TeamAdmission } from './TeamAdmission.js';
import { RequestRun } from './RequestRun.js';
import type { RunContext, RunOutcome } from './run-types.js';
import { readRequestHead, type RequestHead } from './requestHead.js';

/**
 * Time since the plan was known to be the newest one. Above it the plan may be outdated, so that an unknown route or key may
 * exist in a newer one.
 */
const MAX_PLAN_AGE_MS = 1_200;

/**
 * Age of the plan above which a request waits until control VMs have been asked for a newer one. Entries ask long before,
 * unless they were suspended.
 */
const CONFIRM_AGE_MS = 1_800;

/** Maximum wait for a token of the team budget as a fraction of the request's timeout. */
const TOKEN_WAIT_FRACTION = 0.35;

const MS_PER_SECOND = 1_000;

export interface ServerContext extends RunContext, BodyContext {
  readonly log: RequestLog;
  readonly plans: Pick<PlanRefresher, 'confirm'>;
  /** Time since the plan was confirmed, above which requests with a team's key are refused; undefined for never. */
  readonly refuseKeysAfterMs: number | undefined;
}

/** Route and team of an admitted request. */
interface AdmittedRequest {
  readonly route: Route;
  readonly team: Team | undefined;
}

type Admission =
  | { readonly kind: 'admitted'; readonly admitted: AdmittedRequest }
  | { readonly kind: 'refused'; readonly error: ErrorResponse };

function refused(error: ErrorResponse): Admission {
  return { kind: 'refused', error };
}

export class CallerServer {
  private readonly server: Server;

  private readonly connections = new WeakMap<Duplex, CallerConnection>();

  private readonly writer: ResponseWriter;

  private readonly admission: TeamAdmission;

  private limits = INITIAL_LIMITS;

  /** Whether connections are closed after their next response. */
  private isDraining = false;

  private readonly tracker: ConnectionTracker;

  private readonly active = new ActiveRequests();

  private readonly planWait: PlanWait;

  private readonly bodies: BodyReader;

  public constructor(private readonly ctx: ServerContext) {
    this.planWait = new PlanWait(ctx.clock, ctx.state);
    this.server = this.createServer();
    this.tracker = new ConnectionTracker(this.server, ctx.clock);
    this.admission = new TeamAdmission(ctx);
    this.bodies = new BodyReader(ctx, () => this.limits);
    const { clock, names } = ctx;
    this.writer = new ResponseWriter({
      clock,
      names,
      isDraining: () => this.isDraining,
    });
    ctx.state.onDidChangePlan((table) => this.applyLimits(table));
  }

  /** Number of requests whose response is not written completely. */
  public get inProgressCount(): number {
    return this.active.count;
  }

  public listen(address: string): Promise<void> {
    const { host, port } = parseAddress(address);
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, () => {
        this.server.off('error', reject);
        resolve();
      });
    });
  }

  /** Closes connections after their next response. */
  public drain(): void {
    this.isDraining = true;
    this.server.keepAliveTimeout = 1;
  }

  /** Number of open connections. A request may have arrived on them that the event loop has not read yet. */
  public countConnections(): Promise<number> {
    return this.tracker.countOpen();
  }

  /** Stops accepting connections and closes idle ones. Connections that have arrived until then are accepted first. */
  public async close(until: number): Promise<void> {
    await this.tracker.acceptPending(until);
    // The close method of the HTTP server would also stop the timeout checks, so that a connection on which no complete
    // request arrives would stay open.
    NetServer.prototype.close.call(this.server);
    this.server.closeIdleConnections();
  }

  /** Refuses the requests that are not passed on yet because they wait for their body, a token or the first plan. */
  public endWaits(): void {
    this.active.endWaits();
  }

  /** Answers the requests at which targets are still at work. */
  public giveUp(): void {
    this.active.giveUp();
  }

  private createServer(): Server {
    const server = createCallerHttpServer();
    server.on('request', (req, res) => this.accept(req, res));
    server.on('checkExpectation', (req, res) => this.accept(req, res));
    server.on('connect', (_req, socket) => this.connectionOf(socket).handleClientError(undefined));
    server.on('clientError', (err: NodeJS.ErrnoException, socket) =>
      this.connectionOf(socket).handleClientError(err.code),
    );
    return server;
  }

  private applyLimits({ plan }: RouteTable): void {
    this.limits = plan.limits;
    this.server.headersTimeout = plan.limits.headersTimeoutMs + MS_PER_SECOND;
    if (!this.isDraining) this.server.keepAliveTimeout = plan.limits.idleTimeoutMs + IDLE_MARGIN_MS;
  }

  private accept(req: IncomingMessage, res: ServerResponse): void {
    // A pipelined request after one that closes the connection cannot get a response and must not run.
    const connection = this.connectionOf(req.socket);
    if (connection.isClosing) return;
    const requestNumber = connection.requestStarted();
    const callerGone = new AbortController();
    const memory = this.ctx.memory.lease();
    const receivedAt = this.ctx.clock.now();
    res.on('error', () => res.destroy());
    res.once('close', () => {
      connection.requestEnded();
      memory.dispose();
      if (!res.writableFinished) callerGone.abort();
    });
    const tx: Transaction = { req, res, connection, requestNumber, receivedAt, callerGone, memory };
    this.active.add(tx);
    this.handle(tx).catch((err: unknown) => {
      this.ctx.log.write(false, { outcome: 'error', error: String(err) });
      res.destroy();
    });
  }

  private async handle(tx: Transaction): Promise<void> {
    const { ctx } = this;
    const parsed = readRequestHead(tx.req, ctx.names);
    if (parsed.kind === 'invalid') {
      tx.connection.markClosing();
      const { detail } = parsed;
      await this.writeError(tx, undefined, undefined, {
        kind: 'badRequest',
        verdict: 'notRun',
        detail,
      });
      return;
    }
    const { head } = parsed;
    const { state, clock } = ctx;
    if (state.currentRouteTable === undefined && !state.shutdown.isRefusing(clock.now())) {
      const deadlineMs = head.deadlineMs ?? DEFAULT_DEADLINE_MS;
      await this.active.wait(tx, this.planWait.wait(deadlineMs, tx.callerGone.signal));
    }
    await this.active.wait(tx, ctx.plans.confirm(CONFIRM_AGE_MS));
    const admission = this.admit(tx, head);
    if (admission.kind === 'refused') {
      await this.writeError(tx, head, undefined, admission.error);
      return;
    }
    const { route, team } = admission.admitted;
    const dueAt = tx.receivedAt + timeoutOf(head, route);
    const ranked = state.rankedAdmission?.decide(route, team, dueAt);
    const service = this.countOffered(route, ranked?.service);
    if (ranked?.error !== undefined) {
      state.servedShares.note(ranked.service, 'refused', clock.now());
      ctx.reporter.requestReport();
      await this.writeError(tx, head, route, ranked.error);
      return;
    }
    const reading = await this.active.wait(tx, this.bodies.read(tx, head, route));
    const body = reading.kind === 'stopped' ? this.stoppingError() : reading.value;
    if (body === undefined) return;
    if (!Buffer.isBuffer(body)) {
      tx.connection.markClosing();
      await this.writeError(tx, head, route, body);
      return;
    }
    const fingerprint = makeFingerprint(head, body, team?.name);
    const quarantined = quarantineError(state.suspects, fingerprint, clock.now());
    if (quarantined !== undefined) {
      await this.writeError(tx, head, route, quarantined);
      return;
    }
    const maxWaitMs = timeoutOf(head, route) * TOKEN_WAIT_FRACTION;
    const charge = await this.active.wait(tx, this.admission.charge(team, maxWaitMs));
    const error = charge.kind === 'stopped' ? this.stoppingError() : charge.value;
    if (error !== undefined) {
      await this.writeError(tx, head, route, error);
      return;
    }
    await this.forward(tx, head, body, fingerprint, admission.admitted, service);
  }

  /**
   * Counts a request at its service if the retry budget calls for it, whatever becomes of the request. `service` is the one
   * that has been picked for it; if none has been, picks and returns one.
   */
  private countOffered(route: Route, service: string | undefined): string | undefined {
    const { state, reporter } = this.ctx;
    if (!state.retryLimiter.countsOffered) return service;
    const counted = service ?? pickService(route, state.random.float());
    reporter.countOffered(counted);
    return counted;
  }

  /** Looks up route and team. If the plan is not confirmed, an unknown route or key may exist in a newer one. */
  private admit(tx: Transaction, head: RequestHead): Admission {
    const { state, clock } = this.ctx;
    const now = clock.now();
    if (state.shutdown.isRefusing(now)) return refused(this.stoppingError());
    const { currentRouteTable } = state;
    if (currentRouteTable === undefined) return refused({ kind: 'notCurrent', verdict: 'notRun' });
    const planAgeMs = state.planAgeMs(now);
    const isConfirmed = planAgeMs < MAX_PLAN_AGE_MS;
    const unknown = (kind: 'noRoute' | 'unknownKey'): Admission =>
      refused({ kind: isConfirmed ? kind : 'notCurrent', verdict: 'notRun' });
    // Refused at once: which plan is in force is known only when the control VMs have a leader again.
    if (state.mayHandleOtherwise(head.host, head.path, head.key)) {
      return refused({ kind: 'notCurrent', verdict: 'notRun' });
    }
    const route = currentRouteTable.findRoute(head.host, head.path);
    if (route === undefined) return unknown('noRoute');
    const lookup = currentRouteTable.findTeam(route, head.key);
    if (lookup.kind === 'unknown') return unknown('unknownKey');
    const team = lookup.kind === 'team' ? lookup.team : undefined;
    const mayBeRevoked = planAgeMs > (this.ctx.refuseKeysAfterMs ?? Infinity);
    if (team !== undefined && mayBeRevoked) {
      return refused({ kind: 'notCurrent', verdict: 'notRun' });
    }
    const { isIdempotent } = route;
    const { expectedMs } = state.durationEstimateOf(route);
    const dueAt = tx.receivedAt + timeoutOf(head, route);
    if (!state.shutdown.mayPassOn({ isIdempotent, dueAt, expectedMs }, now)) {
      return refused(this.stoppingError());
    }
    return { kind: 'admitted', admitted: { route, team } };
  }

  private stoppingError(): ErrorResponse {
    return stoppingError(!this.ctx.state.addresses.isEmpty);
  }

  private async forward(
    tx: Transaction,
    head: RequestHead,
    body: Buffer,
    fingerprint: () => string,
    { route, team }: AdmittedRequest,
    service: string | undefined,
  ): Promise<void> {
    const run = new RequestRun(this.ctx, {
      head,
      body,
      route,
      service,
      team: team?.name,
      priority: team?.priority ?? route.priority,
      dueAt: tx.receivedAt + timeoutOf(head, route),
      receivedAt: tx.receivedAt,
      fingerprint,
      signal: tx.callerGone.signal,
    });
    const outcome = await this.active.track(tx, run, run.run());
    const isNotRun = outcome.kind === 'refused' && outcome.error.verdict === 'notRun';
    if (isNotRun && team !== undefined) this.admission.giveBack(team);
    await this.finish(tx, head, route, outcome, run.trace);
  }

  private async finish(
    tx: Transaction,
    head: RequestHead,
    route: Route,
    outcome: RunOutcome,
    trace: RequestRun['trace'],
  ): Promise<void> {
    if (outcome.kind === 'callerGone') {
      this.record(tx, head, route, 'callerGone', 0, trace);
      return;
    }
    if (outcome.kind === 'refused') {
      await this.writeError(tx, head, route, outcome.error, trace);
      return;
    }
    this.record(tx, head, route, 'answered', outcome.response.status, trace);
    // Held until the caller has read it.
    tx.memory.charge(outcome.response.body.reduce((sum, { length }) => sum + length, 0));
    await this.writer.writeUpstreamResponse(tx, outcome.response, outcome.attempt);
  }

  private async writeError(
    tx: Transaction,
    head: RequestHead | undefined,
    route: Route | undefined,
    error: ErrorResponse,
    trace?: RequestRun['trace'],
  ): Promise<void> {
    const message = encodeErrorResponse(error);
    this.record(tx, head, route, error.kind, message.status, trace, error);
    await this.writer.writeError(tx, head?.requestId, message);
  }

  private record(
    tx: Transaction,
    head: RequestHead | undefined,
    route: Route | undefined,
    outcome: string,
    status: number,
    trace?: RequestRun['trace'],
    error?: ErrorResponse,
  ): void {
    const { state, clock, log } = this.ctx;
    const now = clock.now();
    const elapsedMs = now - tx.receivedAt;
    const name = route?.name ?? '(none)';
    requestsTotal.inc({ route: name, outcome });
    if (route !== undefined) requestSeconds.observe({ route: name }, elapsedMs / MS_PER_SECOND);
    log.write(outcome === 'answered' && status < 500, {
      requestId: head?.requestId,
      route: name,
      outcome,
      status,
      verdict: error?.verdict,
      detail: error !== undefined && 'detail' in error ? error.detail : undefined,
      ...(error?.kind === 'overQuota' ? { team: error.team, decidedBy: error.decidedBy } : {}),
      elapsedMs: Math.round(elapsedMs),
      plan: state.planVersion,
      confirmedAgeMs: Math.round(Math.min(state.confirmedAgeMs(now), Number.MAX_SAFE_INTEGER)),
      planAgeMs: Math.round(Math.min(state.planAgeMs(now), Number.MAX_SAFE_INTEGER)),
      ...trace,
    });
  }

  private connectionOf(socket: Duplex): CallerConnection {
    const known = this.connections.get(socket);
    if (known !== undefined) return known;
    const created = new CallerConnection(socket);
    socket.once('close', () => this.active.removeConnection(created));
    this.connections.set(socket, created);
    return created;
  }
}
