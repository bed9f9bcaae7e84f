/** HTTP interface of a control VM for operators and targets. */
import { createHash } from 'node:crypto';
import { H3, HTTPResponse, toNodeHandler, type H3Event } from 'h3';
import { createServer, type Server } from 'node:http';
import { delay, type Clock } from '@marigoldbank/base/clock';
import { ByteCollector } from '@marigoldbank/daemon/entry/ByteCollector';
import type { Logger } from '@marigoldbank/daemon/telemetry/Logger';
import { parseAddress } from '@marigoldbank/daemon/transport/InternalServer';
import type { IReplicatedLog, Member } from '@marigoldbank/replicated-log';
import { isUsable } from '../announcement.js';
import { controlCallsTotal } from '../metrics.js';
import type { ControlCall, ProtocolAdapter } from '../ProtocolAdapter.js';
import { CallTrace } from './CallTrace.js';
import type { CommandInit } from './commands.js';
import type { CommandSubmitter, SubmitOutcome } from './CommandSubmitter.js';
import type { EvacuationCalls } from './EvacuationCalls.js';
import type { LogFeed } from './LogFeed.js';
import type { PlanStateMachine } from './PlanStateMachine.js';
import type { StateConfirmation } from './StateConfirmation.js';

/** Idle timeout of connections; targets send announcements within seconds. */
const KEEP_ALIVE_MS = 30_000;

/** Limit of request bodies, sized for a complete configuration. */
const MAX_BODY_BYTES = 33_554_432;

/**
 * Time for which a read waits for the confirmation of the state, and a change for its commit, also during an election or while
 * the leader may be frozen. Callers give up after a second; one that is redirected to a frozen leader loses that second. An
 * election takes about as long.
 */
const WAIT_MS = 850;

const CHECK_MS = 20;

/** A member that has answered the leader within this time takes announcements of targets. */
const MEMBER_CONTACT_MS = 1_000;

/** Digits of the digest that stands for a document in the log. */
const DIGEST_LENGTH = 8;

const TOO_LARGE = JSON.stringify({ error: 'body too large' });

const JSON_HEADERS = { 'content-type': 'application/json' };

export interface ControlApiContext {
  readonly clock: Clock;
  readonly protocol: ProtocolAdapter;
  readonly feed: Pick<LogFeed, 'announce' | 'announcements'>;
  readonly log: Pick<IReplicatedLog, 'status' | 'confirmRead'>;
  readonly submitter: Pick<CommandSubmitter, 'submit'>;
  readonly evacuations: Pick<EvacuationCalls, 'answer'>;
  readonly confirmation: Pick<StateConfirmation, 'confirmedAgeMs'>;
  readonly stateMachine: PlanStateMachine;
  readonly logger: Logger;
  /** Port on which every control VM serves operators. */
  readonly controlPort: number;
}

function jsonResponse(
  status: number,
  body: string,
  headers: Record<string, string> = {},
): HTTPResponse {
  return new HTTPResponse(body, { status, headers: { ...JSON_HEADERS, ...headers } });
}

function errorResponse(status: number, detail: string): HTTPResponse {
  return jsonResponse(status, JSON.stringify({ error: detail }));
}

/**
 * Reads a body. Returns undefined if it is too large, whatever length it was announced with. Rejects if the connection ends
 * before. The stream of Node.js is read: a web stream on top of it takes a fifth of the time of an announcement.
 */
async function readText(event: H3Event): Promise<string | undefined> {
  const collected = new ByteCollector();
  const stream = event.runtime!.node!.req;
  return new Promise((resolve, reject) => {
    stream.on('data', (piece: Buffer) => {
      if (collected.size + piece.length <= MAX_BODY_BYTES) {
        collected.add(piece);
        return;
      }
      stream.pause();
      resolve(undefined);
    });
    stream.once('end', () => resolve(Buffer.concat(collected.take()).toString()));
    stream.once('error', reject);
  });
}

export class ControlApi {
  private readonly servers: Server[] = [];

  /** Number of announcements that were received as leader. */
  private announcements = 0;

  public constructor(private readonly ctx: ControlApiContext) {}

  /** Listens on an address. Rejects if it is in use. */
  public listen(address: string): Promise<void> {
    const app = new H3().use((event) => this.handle(event));
    const server = createServer({ keepAliveTimeout: KEEP_ALIVE_MS }, toNodeHandler(app));
    this.servers.push(server);
    const { host, port } = parseAddress(address);
    return new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, host, () => {
        server.off('error', reject);
        resolve();
      });
    });
  }

  public close(): void {
    this.servers.forEach((server) => {
      server.close();
      server.closeIdleConnections();
    });
  }

  /**
   * Answers a call and counts the answer. A redirect keeps the request target, the path and query of the request. `isWaiting`
   * says whether the caller still waits.
   */
  public async respond(
    call: ControlCall,
    requestTarget: string,
    body: string,
    isWaiting: () => boolean = () => true,
  ): Promise<HTTPResponse> {
    const res = await this.dispatch(call, requestTarget, body, isWaiting);
    controlCallsTotal.inc({ kind: call.kind, status: res.status ?? 200 });
    return res;
  }

  private dispatch(
    call: ControlCall,
    requestTarget: string,
    body: string,
    isWaiting: () => boolean,
  ): Promise<HTTPResponse> {
    switch (call.kind) {
      case 'announce':
        return this.announce(call.id, requestTarget, body);
      case 'leave':
        return this.markLeaving(
          call.id,
          this.ctx.protocol.parseLeaveNotice(body),
          true,
          requestTarget,
        );
      case 'putPlan':
        return this.putPlan(requestTarget, body);
      case 'getPlan':
        return this.getPlan(requestTarget);
      case 'startEvacuation':
        return this.orderEvacuation(call.dataCentre, true, isWaiting, requestTarget);
      case 'endEvacuation':
        return this.orderEvacuation(call.dataCentre, false, isWaiting, requestTarget);
      default:
        return Promise.resolve(errorResponse(404, 'not found'));
    }
  }

  private async handle(event: H3Event): Promise<HTTPResponse> {
    const { req, url } = event;
    const requestTarget = url.pathname + url.search;
    const call = this.ctx.protocol.parseControlCall(req.method, requestTarget);
    if (call.kind === 'unknown') return errorResponse(404, 'not found');
    const length = Number(req.headers.get('content-length') ?? 0);
    const body = length > MAX_BODY_BYTES ? undefined : await readText(event);
    // The connection is closed, so that the rest of the body need not be read.
    if (body === undefined) return jsonResponse(413, TOO_LARGE, { connection: 'close' });
    const { socket } = event.runtime!.node!.req;
    const isWaiting = (): boolean => !socket.destroyed && !socket.readableEnded;
    return this.respond(call, requestTarget, body, isWaiting);
  }

  private async announce(id: string, requestTarget: string, body: string): Promise<HTTPResponse> {
    const announcement = this.ctx.protocol.parseAnnouncement(id, body);
    if (announcement === undefined || !isUsable(announcement)) {
      this.ctx.logger.warn('unreadable announcement', { target: id });
      return errorResponse(400, 'unreadable announcement');
    }
    this.ctx.feed.announce(announcement);
    if (!announcement.isDraining) {
      const next = this.nextAnnouncementAddress();
      return jsonResponse(200, this.ctx.protocol.formatAnnouncementAnswer(next));
    }
    return this.markLeaving(id, announcement.born, false, requestTarget);
  }

  /** The leader, which has the most to do, sends targets to the other control VMs in turn. */
  private nextAnnouncementAddress(): string | undefined {
    const { clock, log, controlPort } = this.ctx;
    const { role, progress } = log.status();
    if (role !== 'leader') return undefined;
    const now = clock.now();
    const others = progress.filter(
      ({ lastContactAt }) => lastContactAt !== undefined && now - lastContactAt < MEMBER_CONTACT_MS,
    );
    this.announcements += 1;
    const next = others[this.announcements % Math.max(1, others.length)];
    return next === undefined ? undefined : `${next.member.vm}:${controlPort}`;
  }

  /**
   * Responds only once the mark is committed, since entries must not start new requests to the target after the
   * response. The hubs send the mark to their entries when they apply it; the response does not wait for that.
   */
  private async markLeaving(
    id: string,
    born: number,
    isGone: boolean,
    requestTarget: string,
  ): Promise<HTTPResponse> {
    const mark = this.ctx.stateMachine.leavingMark(id, born);
    if (mark !== undefined && (mark.isGone || !isGone)) return jsonResponse(200, '{}');
    const start = born === 0 ? this.ctx.feed.announcements.bornOf(id) : born;
    const command: CommandInit = { kind: 'markLeaving', id, born: start, isGone, at: Date.now() };
    return this.submit(command, requestTarget);
  }

  /** Logs each call with the digest of the document, which tells calls with the same change on different VMs. */
  private async putPlan(requestTarget: string, document: string): Promise<HTTPResponse> {
    const { clock, logger, stateMachine } = this.ctx;
    const trace = new CallTrace(clock);
    const res = await this.submitPlan(requestTarget, document, trace);
    logger.info('change of the configuration answered', {
      digest: createHash('sha256').update(document).digest('hex').slice(0, DIGEST_LENGTH),
      bytes: document.length,
      status: res.status,
      held: stateMachine.current?.plan.version ?? 0,
      ...trace.fields(),
    });
    return res;
  }

  /** Only the member that is called validates the document, and not the leader, which has the most to do. */
  private async submitPlan(
    requestTarget: string,
    document: string,
    trace: CallTrace,
  ): Promise<HTTPResponse> {
    const { protocol, logger, stateMachine } = this.ctx;
    if (stateMachine.current?.document === document) return jsonResponse(200, '{}');
    const parsed = await trace.measure('parse', () => protocol.parsePlan(document));
    if (parsed.kind === 'invalid') {
      logger.warn('configuration refused', { problems: parsed.problems.join('; ').slice(0, 500) });
      return errorResponse(400, parsed.problems.join('; '));
    }
    const command: CommandInit = { kind: 'putPlan', document, plan: parsed.plan };
    return trace.measure('commit', () => this.submit(command, requestTarget));
  }

  /** Responds once the command is committed, by any leader. */
  private async submit(command: CommandInit, requestTarget: string): Promise<HTTPResponse> {
    const outcome = await this.ctx.submitter.submit(command, WAIT_MS);
    return outcome === 'committed'
      ? jsonResponse(200, '{}')
      : this.notCommitted(outcome, requestTarget);
  }

  private async orderEvacuation(
    dataCentre: string,
    isEvacuated: boolean,
    isWaiting: () => boolean,
    requestTarget: string,
  ): Promise<HTTPResponse> {
    const order = { dataCentre, isEvacuated, isWaiting };
    const { outcome, warnings } = await this.ctx.evacuations.answer(order, WAIT_MS);
    switch (outcome) {
      case 'committed':
        return jsonResponse(200, JSON.stringify(warnings.length === 0 ? {} : { warnings }));
      case 'unknownDataCentre':
        return errorResponse(400, `dataCentre: ${JSON.stringify(dataCentre)} is not known`);
      case 'noTargetsKnown':
        return errorResponse(503, 'dataCentre: no targets are known yet');
      case 'superseded':
        return errorResponse(503, 'other orders were committed instead');
      default:
        return this.notCommitted(outcome, requestTarget);
    }
  }

  private notCommitted(
    outcome: Exclude<SubmitOutcome, 'committed'>,
    requestTarget: string,
  ): HTTPResponse {
    switch (outcome) {
      case 'pending':
        return errorResponse(504, 'the outcome is not known yet');
      case 'unsupported':
        return this.redirect(this.ctx.log.status().leader, requestTarget);
      default:
        return errorResponse(503, 'no leader is known');
    }
  }

  /**
   * Any member answers a read once a leader has confirmed its state after the call. One that gets no confirmation in time
   * sends the caller to the leader, if its heartbeats still arrive.
   */
  private async getPlan(requestTarget: string): Promise<HTTPResponse> {
    const { clock, log, stateMachine } = this.ctx;
    const trace = new CallTrace(clock);
    const isConfirmed = await trace.measure('confirm', () => this.confirmState(clock.now()));
    const { leader } = log.status();
    if (!isConfirmed) {
      const { tookMs } = trace;
      const confirmedAgeMs = Math.round(this.ctx.confirmation.confirmedAgeMs());
      this.ctx.logger.info('a read was not confirmed', {
        tookMs,
        leader: leader?.vm ?? '',
        confirmedAgeMs: Number.isFinite(confirmedAgeMs) ? confirmedAgeMs : -1,
      });
      return this.redirect(this.isSelf(leader) ? undefined : leader, requestTarget);
    }
    const committed = stateMachine.current;
    return committed === undefined
      ? errorResponse(503, 'no configuration yet')
      : jsonResponse(200, committed.document);
  }

  /** Whether the state of this member contains everything that was committed by `since`. Waits for up to `WAIT_MS`. */
  private async confirmState(since: number): Promise<boolean> {
    const { clock, confirmation, log } = this.ctx;
    const elapsedMs = (): number => clock.now() - since;
    // As leader this member is confirmed at once, by messages of its own.
    if (log.status().role === 'leader') {
      const read = await log.confirmRead();
      if (read.kind === 'confirmed') return true;
    }
    while (confirmation.confirmedAgeMs() > elapsedMs() && elapsedMs() < WAIT_MS) {
      await delay(clock, CHECK_MS);
    }
    return confirmation.confirmedAgeMs() <= elapsedMs();
  }

  private isSelf(leader: Member | undefined): boolean {
    return leader !== undefined && leader.vm === this.ctx.log.status().self.vm;
  }

  private redirect(leader: Member | undefined, requestTarget: string): HTTPResponse {
    if (leader === undefined) return errorResponse(503, 'no leader answers');
    const location = `http://${leader.vm}:${this.ctx.controlPort}${requestTarget}`;
    return jsonResponse(307, '{}', { location });
  }
}
