/** Load on one entry: requests of callers, and what its hub sends about the requests of the whole fleet. */
import { fork, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import http from 'node:http';
import { SystemClock, delay } from '@marigoldbank/base/clock';
import { DisposableStore } from '@marigoldbank/base/lifecycle';
import { Random } from '@marigoldbank/base/random';
import type { RoutingPlan } from '@marigoldbank/routing/plan';
import { HUB_IP, HubLoad, type HubLoadPoint } from '../hub/HubLoad.js';
import { CALLER_PORT_OFFSET, type EntryUsage } from './EntryUsage.js';

const ENTRY_IP = '127.0.0.3';
const SEED = 2;
const MS_PER_SECOND = 1_000;
const BYTES_PER_MB = 2 ** 20;

/** Flags of an entry in a deployment, which bound its memory. */
const NODE_FLAGS = ['--max-semi-space-size=1', '--max-old-space-size=160', '--liftoff-only'];

const ROUTES = 200;
const HOSTS = 8;
const TEAM_RATE = 20;
const BODY_BYTES = 400;
const DEADLINE_MS = 3_000;

/** Part of the requests that arrive on connections that are kept open. */
const KEPT_CONNECTION_SHARE = 0.5;

export interface EntryLoadPoint extends HubLoadPoint {
  /** Of the measured entry. */
  readonly ownRequestsPerSecond: number;
}

export interface EntryLoadResult {
  /** Processor seconds from the start of the process until it was ready. */
  readonly startSeconds: number;
  /** Mean use of processors by the code of the entry and by the kernel for it. */
  readonly userCores: number;
  readonly systemCores: number;
  readonly heapMb: number;
  readonly rssMb: number;
  /** Share of the requests that were answered with success. */
  readonly answeredShare: number;
  /** New connections to targets for each request to them. */
  readonly connectionsPerRequest: number;
}

function planOf({ teams }: HubLoadPoint): RoutingPlan {
  return {
    version: 1,
    hasTeams: true,
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 67_108_864,
      headersTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    services: ['service-0', 'service-1'].map((name) => ({ name, maxConnections: 1_140 })),
    teams: Array.from({ length: teams }, (_, i) => ({
      name: `team-${i}`,
      keys: [`key-${i}`],
      ratePerSecond: TEAM_RATE,
      burst: TEAM_RATE,
    })),
    routes: Array.from({ length: ROUTES }, (_, i) => ({
      name: `route-${i}`,
      host: `host-${i % HOSTS}.example`,
      prefix: `/path-${i}/`,
      isIdempotent: i % 2 === 0,
      timeoutMs: DEADLINE_MS,
      objectiveMs: 1_500,
      priority: 1,
      maxTargets: 2,
      isOpen: false,
      shares: [{ service: `service-${Math.floor(i / HOSTS) % 2}`, weight: 1 }],
    })),
  };
}

export class EntryLoad extends DisposableStore {
  private readonly random = new Random(SEED);

  private readonly clock = new SystemClock();

  private readonly agent = new http.Agent({ keepAlive: true });

  private lastId = 0;

  private outcomes = { answered: 0, others: 0 };

  private constructor(
    private readonly point: EntryLoadPoint,
    private readonly entry: ChildProcess,
    private readonly targets: ChildProcess,
    private readonly firstPort: number,
    private readonly startSeconds: number,
  ) {
    super();
    this.add({ dispose: () => this.agent.destroy() });
  }

  /** Starts targets, a hub with its other load, and the entry with further flags of Node.js. */
  public static async start(point: EntryLoadPoint, flags: readonly string[]): Promise<EntryLoad> {
    const script = (name: string): string => new URL(name, import.meta.url).pathname;
    const targets = fork(script('./targetsProcess.js'), [String(point.failedShare)], {
      execArgv: [],
    });
    const [targetPort] = (await once(targets, 'message')) as [number];
    const hub = await HubLoad.start({ ...point, targetPort, plan: planOf(point) });
    const entry = fork(script('./entryProcess.js'), [ENTRY_IP, HUB_IP, String(hub.firstPort)], {
      execArgv: [...NODE_FLAGS, ...flags],
      stdio: ['ignore', 'ignore', 'inherit', 'ipc'],
    });
    await once(entry, 'message');
    const { userSeconds, systemSeconds } = await EntryLoad.ask<EntryUsage>(entry);
    const load = new EntryLoad(point, entry, targets, hub.firstPort, userSeconds + systemSeconds);
    load.add(hub);
    load.generateRequests();
    return load;
  }

  /** Measures for a while. */
  public async measure(durationMs: number): Promise<EntryLoadResult> {
    const { entry, targets } = this;
    const usageBefore = await EntryLoad.ask<EntryUsage>(entry);
    const countsBefore = await EntryLoad.ask<{ connections: number; requests: number }>(targets);
    const startedAt = this.clock.now();
    this.outcomes = { answered: 0, others: 0 };
    await delay(this.clock, durationMs);
    const usage = await EntryLoad.ask<EntryUsage>(entry);
    const counts = await EntryLoad.ask<{ connections: number; requests: number }>(targets);
    const seconds = (this.clock.now() - startedAt) / MS_PER_SECOND;
    const { answered, others } = this.outcomes;
    return {
      startSeconds: this.startSeconds,
      userCores: (usage.userSeconds - usageBefore.userSeconds) / seconds,
      systemCores: (usage.systemSeconds - usageBefore.systemSeconds) / seconds,
      heapMb: usage.heapBytes / BYTES_PER_MB,
      rssMb: usage.rssBytes / BYTES_PER_MB,
      answeredShare: answered / Math.max(1, answered + others),
      connectionsPerRequest:
        (counts.connections - countsBefore.connections) /
        Math.max(1, counts.requests - countsBefore.requests),
    };
  }

  /** Ends all processes; the entry with a signal that lets it write a profile. */
  public async stop(): Promise<void> {
    this.dispose();
    const ended = once(this.entry, 'exit');
    this.entry.kill('SIGTERM');
    await ended;
    this.targets.kill('SIGKILL');
  }

  private static async ask<T>(child: ChildProcess): Promise<T> {
    const answer = once(child, 'message');
    child.send('usage');
    const [message] = (await answer) as [T];
    return message;
  }

  private generateRequests(): void {
    const { ownRequestsPerSecond } = this.point;
    if (this.isDisposed || ownRequestsPerSecond === 0) return;
    const waitMs = this.random.exponential(MS_PER_SECOND / ownRequestsPerSecond);
    this.clock.setTimeout(() => {
      if (this.isDisposed) return;
      this.sendRequest();
      this.generateRequests();
    }, waitMs);
  }

  private sendRequest(): void {
    const { random } = this;
    const route = random.int(ROUTES);
    const isPost = route % 2 === 1;
    this.lastId += 1;
    const req = http.request(
      {
        host: ENTRY_IP,
        port: this.firstPort + CALLER_PORT_OFFSET,
        path: `/path-${route}/${this.lastId}`,
        method: isPost ? 'POST' : 'GET',
        agent: random.chance(KEPT_CONNECTION_SHARE) ? this.agent : false,
        headers: {
          host: `host-${route % HOSTS}.example`,
          'x-request-id': `request-${this.lastId}`,
          'x-deadline-ms': String(DEADLINE_MS),
          'x-key': `key-${random.int(this.point.teams)}`,
        },
      },
      (res) => {
        res.resume();
        if (res.statusCode === 200) this.outcomes.answered += 1;
        else this.outcomes.others += 1;
      },
    );
    req.on('error', () => {
      this.outcomes.others += 1;
    });
    req.end(isPost ? 'x'.repeat(BODY_BYTES) : undefined);
  }
}
