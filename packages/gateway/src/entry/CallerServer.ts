/** The listener for callers: from the head of a request to its final answer. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { Server as NetServer } from 'node:net';
import type { Duplex } from 'node:stream';
import { DisposableStore } from '@marigoldbank/base/lifecycle';
import { CallerConnection } from '@marigoldbank/daemon/entry/CallerConnection';
import { readBody } from '@marigoldbank/daemon/entry/readBody';
import { parseAddress } from '@marigoldbank/daemon/transport/InternalServer';
import type { PlanLimits, Route, Team } from '@marigoldbank/routing/plan';
import type { RouteTable } from '@marigoldbank/routing/RouteTable';
import { requestSeconds, requestsTotal } from '../metrics.js';
import { AnswerWriter, type Transaction } from './ResponseWriter.js';
import { formatReply, type Reply } from './ErrorResponse.js';
import type { RequestLog } from './RequestLog.js';
import { TeamAdmission } from './TeamAdmission.js';
import { RequestRun, type RunContext, type RunOutcome } from './RequestRun.js';
import { readRequestHead, type RequestHead } from './requestHead.js';

/** Limits until a plan is known. */
const INITIAL_LIMITS: PlanLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 67_108_864,
  headersTimeoutMs: 10_000,
  idleTimeoutMs: 15_000,
};

/** Largest head that the parser accepts; the plan's limit is checked afterwards. */
const MAX_HEAD_BYTES = 65_536;

/** Callers reuse a connection up to its idle limit; it is kept a little longer. */
const IDLE_MARGIN_MS = 2_000;

const CHECKING_INTERVAL_MS = 500;

/** Longest time for a whole body. */
const BODY_TIMEOUT_MS = 30_000;

/** Without a confirmation for this long, an unknown route or key may only be unknown here. */
const MAX_CONFIRMED_AGE_MS = 1_200;

/** Longest wait of a request for the first plan: the start of control VMs and an election take less than two seconds. */
const MAX_PLAN_WAIT_MS = 2_000;

/** Shortest time from the start of an entry to its plan when the control VMs have started as well. */
const LEADERLESS_PLAN_MS = 1_200;

/** Longest such wait as a part of the time that the caller has: the rest must suffice for the request itself. */
const PLAN_WAIT_SHARE = 0.6;

/** Part of its time that a request may wait for a token of an entry that decides alone. */
const TOKEN_WAIT_SHARE = 0.35;

/** Wait of a request that says nothing about its deadline, if its route says nothing either. */
const DEFAULT_DEADLINE_MS = 60_000;

const MS_PER_SECOND = 1_000;

export interface ServerContext extends RunContext {
  readonly log: RequestLog;
  /** Requests with a key are refused when the plan was not confirmed for so long; undefined for never. */
  readonly refuseKeysAfterMs: number | undefined;
}

/** A request whose route and team are known. */
interface Admitted {
  readonly route: Route;
  readonly team: Team | undefined;
}

type Admission =
  | { readonly kind: 'admitted'; readonly admitted: Admitted }
  | { readonly kind: 'refused'; readonly reply: Reply };

function refused(reply: Reply): Admission {
  return { kind: 'refused', reply };
}

export class CallerServer {
  private readonly server: Server;

  private readonly connections = new WeakMap<Duplex, CallerConnection>();

  private readonly writer: AnswerWriter;

  private readonly admission: TeamAdmission;

  private limits = INITIAL_LIMITS;

  /** Answers end their connections. */
  private isLeaving = false;

  /** New requests are refused. */
  private isRefusing = false;

  private inProgress = 0;

  private readonly startedAt: number;

  public constructor(private readonly ctx: ServerContext) {
    this.startedAt = ctx.clock.now();
    this.server = this.createServer();
    this.admission = new TeamAdmission(ctx);
    const { clock, names } = ctx;
    this.writer = new AnswerWriter({ clock, names, isLeaving: () => this.isLeaving });
    ctx.board.onDidChangePlan((table) => this.adoptLimits(table));
  }

  /** Requests that have no final answer yet. */
  public get running(): number {
    return this.inProgress;
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

  /** Ends connections after their next answer. */
  public leave(): void {
    this.isLeaving = true;
    this.server.keepAliveTimeout = 1;
  }

  /** Refuses requests that would not be answered before the process ends. */
  public refuseNew(): void {
    this.isRefusing = true;
    this.server.closeIdleConnections();
  }

  /** Stops accepting connections and closes idle ones. */
  public close(): void {
    // The close of the HTTP server itself would also close connections with a request on its way.
    NetServer.prototype.close.call(this.server);
    this.server.closeIdleConnections();
  }

  private createServer(): Server {
    const server = createServer({
      maxHeaderSize: MAX_HEAD_BYTES,
      headersTimeout: INITIAL_LIMITS.headersTimeoutMs,
      requestTimeout: BODY_TIMEOUT_MS,
      keepAliveTimeout: INITIAL_LIMITS.idleTimeoutMs + IDLE_MARGIN_MS,
      connectionsCheckingInterval: CHECKING_INTERVAL_MS,
      insecureHTTPParser: false,
      noDelay: true,
    });
    // Node.js drops headers beyond its own limit without a word.
    server.maxHeadersCount = 0;
    server.on('request', (req, res) => this.accept(req, res));
    server.on('checkExpectation', (req, res) => this.accept(req, res));
    server.on('connect', (_req, socket) => this.connectionOf(socket).handleClientError(undefined));
    server.on('clientError', (err: NodeJS.ErrnoException, socket) =>
      this.connectionOf(socket).handleClientError(err.code),
    );
    return server;
  }

  private adoptLimits({ plan }: RouteTable): void {
    this.limits = plan.limits;
    this.server.headersTimeout = plan.limits.headersTimeoutMs + MS_PER_SECOND;
    if (!this.isLeaving) this.server.keepAliveTimeout = plan.limits.idleTimeoutMs + IDLE_MARGIN_MS;
  }

  private accept(req: IncomingMessage, res: ServerResponse): void {
    // A request behind one that ends the connection cannot be answered and must not run.
    const connection = this.connectionOf(req.socket);
    if (connection.isClosing) return;
    connection.requestStarted();
    const gone = new AbortController();
    const receivedAt = this.ctx.clock.now();
    res.on('error', () => res.destroy());
    res.once('close', () => {
      connection.requestEnded();
      if (!res.writableFinished) gone.abort();
    });
    this.inProgress += 1;
    this.handle({ req, res, connection, receivedAt, gone })
      .catch((err: unknown) => {
        this.ctx.log.write(false, { outcome: 'error', error: String(err) });
        res.destroy();
      })
      .finally(() => {
        this.inProgress -= 1;
      });
  }

  private async handle(tx: Transaction): Promise<void> {
    const { ctx } = this;
    const parsed = readRequestHead(tx.req, ctx.names);
    if (parsed.kind === 'invalid') {
      tx.connection.markClosing();
      const { detail } = parsed;
      await this.refuse(tx, undefined, undefined, {
        kind: 'badRequest',
        verdict: 'notRun',
        detail,
      });
      return;
    }
    const { head } = parsed;
    if (this.ctx.board.table === undefined) await this.waitForPlan(tx, head);
    const admission = this.admit(head);
    if (admission.kind === 'refused') {
      await this.refuse(tx, head, undefined, admission.reply);
      return;
    }
    const { route, team } = admission.admitted;
    const body = await this.readWholeBody(tx);
    if (body === undefined) return;
    if (!Buffer.isBuffer(body)) {
      tx.connection.markClosing();
      await this.refuse(tx, head, route, body);
      return;
    }
    const patienceMs = CallerServer.waitMsOf(head, route) * TOKEN_WAIT_SHARE;
    const reply = await this.admission.charge(team, patienceMs);
    if (reply !== undefined) {
      await this.refuse(tx, head, route, reply);
      return;
    }
    await this.forward(tx, head, body, admission.admitted);
  }

  /** An entry that has just started gets its plan in a moment, and callers may have no other try. */
  private async waitForPlan(tx: Transaction, head: RequestHead): Promise<void> {
    const { board, clock } = this.ctx;
    const share = (head.deadlineMs ?? DEFAULT_DEADLINE_MS) * PLAN_WAIT_SHARE;
    const waitMs = Math.min(MAX_PLAN_WAIT_MS, share);
    const now = clock.now();
    const hasLeader = board.isFollowing(now) && !board.isLeaderless;
    // Without a leader the plan comes no sooner than after an election, and a shorter wait would be in vain.
    if (!hasLeader && now + waitMs < this.startedAt + LEADERLESS_PLAN_MS) return;
    const waiting = new DisposableStore();
    await new Promise<void>((resolve) => {
      const done = (): void => resolve();
      waiting.add(clock.setTimeout(done, waitMs));
      waiting.add(board.onDidChangePlan(done));
      tx.gone.signal.addEventListener('abort', done, { once: true });
      waiting.add({ dispose: () => tx.gone.signal.removeEventListener('abort', done) });
    });
    waiting.dispose();
  }

  /** Route and key of a request. What is unknown may only be unknown here while the plan is not confirmed. */
  private admit(head: RequestHead): Admission {
    const { board, clock } = this.ctx;
    const { table } = board;
    if (table === undefined) return refused({ kind: 'notCurrent', verdict: 'notRun' });
    if (this.isRefusing) return refused({ kind: 'stopping', verdict: 'notRun' });
    const confirmedAgeMs = board.confirmedAgeMs(clock.now());
    const isConfirmed = confirmedAgeMs < MAX_CONFIRMED_AGE_MS && board.holdsConfirmedPlan;
    const unknown = (kind: 'noRoute' | 'unknownKey'): Admission =>
      refused({ kind: isConfirmed ? kind : 'notCurrent', verdict: 'notRun' });
    const route = table.findRoute(head.host, head.path);
    if (route === undefined) return unknown('noRoute');
    const owner = table.findTeam(route, head.key);
    if (owner.kind === 'unknown') return unknown('unknownKey');
    const team = owner.kind === 'team' ? owner.team : undefined;
    const mayBeRevoked = confirmedAgeMs > (this.ctx.refuseKeysAfterMs ?? Infinity);
    if (team !== undefined && mayBeRevoked) {
      return refused({ kind: 'notCurrent', verdict: 'notRun' });
    }
    return { kind: 'admitted', admitted: { route, team } };
  }

  /** The body, a refusal, or undefined if the caller has gone. */
  private async readWholeBody(tx: Transaction): Promise<Buffer | Reply | undefined> {
    const { req, connection } = tx;
    if (Number(req.headers['content-length'] ?? 0) > this.limits.maxBodyBytes) {
      return { kind: 'bodyTooLarge', verdict: 'notRun' };
    }
    if (req.headers.expect !== undefined) tx.res.writeContinue();
    const result = await readBody(req, connection, this.ctx.clock, {
      maxBytes: this.limits.maxBodyBytes,
      idleTimeoutMs: this.limits.idleTimeoutMs,
      totalTimeoutMs: BODY_TIMEOUT_MS,
    });
    switch (result.kind) {
      case 'read':
        return result.body;
      case 'tooLarge':
        return { kind: 'bodyTooLarge', verdict: 'notRun' };
      case 'tooSlow':
        return { kind: 'bodyTooSlow', verdict: 'notRun' };
      case 'broken':
        return { kind: 'badRequest', verdict: 'notRun', detail: 'the body is not valid' };
      default:
        return undefined;
    }
  }

  /** Time from the head of a request to its final answer. */
  private static waitMsOf(head: RequestHead, route: Route): number {
    return Math.min(head.deadlineMs ?? DEFAULT_DEADLINE_MS, route.timeoutMs);
  }

  private async forward(
    tx: Transaction,
    head: RequestHead,
    body: Buffer,
    { route, team }: Admitted,
  ): Promise<void> {
    const waitMs = CallerServer.waitMsOf(head, route);
    const run = new RequestRun(this.ctx, {
      head,
      body,
      route,
      team: team?.name,
      priority: team?.priority ?? route.priority,
      dueAt: tx.receivedAt + waitMs,
      signal: tx.gone.signal,
    });
    const outcome = await run.run();
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
      await this.refuse(tx, head, route, outcome.reply, trace);
      return;
    }
    this.record(tx, head, route, 'answered', outcome.answer.status, trace);
    await this.writer.answer(tx, outcome.answer, outcome.attempt);
  }

  private async refuse(
    tx: Transaction,
    head: RequestHead | undefined,
    route: Route | undefined,
    reply: Reply,
    trace?: RequestRun['trace'],
  ): Promise<void> {
    const message = formatReply(reply);
    this.record(tx, head, route, reply.kind, message.status, trace, reply);
    await this.writer.refuse(tx, head?.requestId, message);
  }

  private record(
    tx: Transaction,
    head: RequestHead | undefined,
    route: Route | undefined,
    outcome: string,
    status: number,
    trace?: RequestRun['trace'],
    reply?: Reply,
  ): void {
    const { board, clock, log } = this.ctx;
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
      verdict: reply?.verdict,
      detail: reply !== undefined && 'detail' in reply ? reply.detail : undefined,
      ...(reply?.kind === 'overQuota' ? { team: reply.team, decidedBy: reply.decidedBy } : {}),
      elapsedMs: Math.round(elapsedMs),
      plan: board.version,
      confirmedAgeMs: Math.round(Math.min(board.confirmedAgeMs(now), Number.MAX_SAFE_INTEGER)),
      ...trace,
    });
  }

  private connectionOf(socket: Duplex): CallerConnection {
    const known = this.connections.get(socket);
    if (known !== undefined) return known;
    const created = new CallerConnection(socket);
    this.connections.set(socket, created);
    return created;
  }
}
