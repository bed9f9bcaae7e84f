/** HTTP interface of a control VM to operators and targets. */
import { H3, HTTPResponse, toNodeHandler, type H3Event } from 'h3';
import { createServer, type Server } from 'node:http';
import type { Logger } from '@marigoldbank/daemon/telemetry/Logger';
import { parseAddress } from '@marigoldbank/daemon/transport/InternalServer';
import type { IReplicatedLog, ProposeOutcome } from '@marigoldbank/replicated-log';
import type { ControlCall, ProtocolAdapter } from '../ProtocolAdapter.js';
import { encodeCommand, type CommandInit } from './commands.js';
import type { Hub } from './Hub.js';
import type { PlanStateMachine } from './PlanStateMachine.js';

/** Connections that are idle for this long are closed; targets call again within seconds. */
const KEEP_ALIVE_MS = 30_000;

/** Largest body: a whole configuration. */
const MAX_BODY_BYTES = 33_554_432;

const JSON_HEADERS = { 'content-type': 'application/json' };

export interface ControlApiContext {
  readonly protocol: ProtocolAdapter;
  readonly hub: Hub;
  readonly log: IReplicatedLog;
  readonly stateMachine: PlanStateMachine;
  readonly logger: Logger;
  /** Port on which every control VM serves operators. */
  readonly controlPort: number;
}

function answer(status: number, body: string, headers: Record<string, string> = {}): HTTPResponse {
  return new HTTPResponse(body, { status, headers: { ...JSON_HEADERS, ...headers } });
}

function problem(status: number, detail: string): HTTPResponse {
  return answer(status, JSON.stringify({ error: detail }));
}

export class ControlApi {
  private readonly servers: Server[] = [];

  public constructor(private readonly ctx: ControlApiContext) {}

  /** Listens on an address. Rejects if it is in use. */
  public listen(address: string): Promise<void> {
    const app = new H3().use((event) => this.handleControl(event));
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

  private async handleControl(event: H3Event): Promise<HTTPResponse> {
    const { req, url } = event;
    const target = url.pathname + url.search;
    const call = this.ctx.protocol.parseControlCall(req.method, target);
    if (call.kind === 'unknown') return problem(404, 'not found');
    const length = Number(req.headers.get('content-length') ?? 0);
    if (length > MAX_BODY_BYTES) return problem(413, 'body too large');
    const body = await req.text();
    return this.run(call, target, body);
  }

  private run(call: ControlCall, target: string, body: string): Promise<HTTPResponse> {
    switch (call.kind) {
      case 'announce':
        return this.announce(call.id, target, body);
      case 'leave':
        return this.markLeaving(call.id, this.ctx.protocol.parseLeaveNotice(body), true, target);
      case 'putPlan':
        return this.putPlan(target, body);
      case 'getPlan':
        return this.getPlan(target);
      default:
        return Promise.resolve(problem(404, 'not found'));
    }
  }

  private async announce(id: string, target: string, body: string): Promise<HTTPResponse> {
    const announcement = this.ctx.protocol.parseAnnouncement(id, body);
    if (announcement === undefined) {
      this.ctx.logger.warn('unreadable announcement', { target: id });
      return problem(400, 'unreadable announcement');
    }
    this.ctx.hub.announce(announcement);
    if (!announcement.isDraining) return answer(200, '{}');
    return this.markLeaving(id, announcement.born, false, target);
  }

  /** Acknowledged only when the mark is replicated, since the acknowledgement ends new work everywhere. */
  private async markLeaving(
    id: string,
    born: number,
    isGone: boolean,
    target: string,
  ): Promise<HTTPResponse> {
    const mark = this.ctx.stateMachine.markOf(id, born);
    if (mark !== undefined && (mark.isGone || !isGone)) return answer(200, '{}');
    const start = born === 0 ? this.ctx.hub.targets.bornOf(id) : born;
    const command: CommandInit = { kind: 'markLeaving', id, born: start, isGone, at: Date.now() };
    return this.propose(command, target);
  }

  private async putPlan(target: string, document: string): Promise<HTTPResponse> {
    const { protocol, logger, stateMachine, log } = this.ctx;
    // The leader checks the document; to check a large one everywhere would cost every member what it costs the leader.
    const { role, leader } = log.status();
    if (role !== 'leader') return this.redirect(leader?.vm, target);
    const parsed = protocol.parsePlan(document);
    if (parsed.kind === 'invalid') {
      logger.warn('configuration refused', { problems: parsed.problems.join('; ').slice(0, 500) });
      return problem(400, parsed.problems.join('; '));
    }
    const { version } = parsed.plan;
    const res = await this.propose({ kind: 'putPlan', document, plan: parsed.plan }, target);
    const held = stateMachine.current?.plan.version ?? 0;
    logger.info('configuration received', { version, status: res.status, held });
    return res;
  }

  private async propose(command: CommandInit, target: string): Promise<HTTPResponse> {
    const outcome: ProposeOutcome = await this.ctx.log.propose(encodeCommand(command));
    if (outcome.kind === 'committed') return answer(200, '{}');
    if (outcome.kind === 'notLeader') return this.redirect(outcome.leader?.vm, target);
    return problem(503, 'the outcome is not known');
  }

  private async getPlan(target: string): Promise<HTTPResponse> {
    const read = await this.ctx.log.confirmRead();
    if (read.kind === 'notLeader') return this.redirect(read.leader?.vm, target);
    const held = this.ctx.stateMachine.current;
    return held === undefined ? problem(503, 'no configuration yet') : answer(200, held.document);
  }

  private redirect(leaderIp: string | undefined, target: string): HTTPResponse {
    if (leaderIp === undefined) return problem(503, 'no leader is known');
    const location = `http://${leaderIp}:${this.ctx.controlPort}${target}`;
    return answer(307, '{}', { location });
  }
}
