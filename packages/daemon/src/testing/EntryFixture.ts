/** An entry server with fake dependencies, for tests and the request path benchmark. */
import { createHash } from 'node:crypto';
import type { FleetConfig } from '@marigoldbank/fleet/config';
import { CompiledLists } from '@marigoldbank/lists/CompiledLists';
import { listsSchema, type Lists } from '@marigoldbank/lists/schema';
import { Blackboard } from '../Blackboard.js';
import { DEFAULT_LIMITS, type EntryLimits } from '../entry/constants.js';
import { EntryServer } from '../entry/EntryServer.js';
import type { EntryContext } from '../entry/types.js';
import { UpstreamClient } from '../entry/UpstreamClient.js';
import type { Logger } from '../telemetry/Logger.js';
import { Metrics } from '../telemetry/Metrics.js';
import { NullLogger } from '../telemetry/NullLogger.js';
import { FakeBudgets } from './FakeBudgets.js';
import { FakeClaims } from './FakeClaims.js';
import { FakeQueue } from './FakeQueue.js';
import { FakeTargetPool } from './FakeTargetPool.js';
import { JumpingClock } from './JumpingClock.js';
import { FakeUpstream, type FakeUpstreamOptions } from './FakeUpstream.js';

export const TEST_SECRET = 'c2VjcmV0LW9mLXRoZS1hc3RlcnMtdGVhbS1mb3ItdGVzdHM';
export const TEST_KEY = `mb_asters01_${TEST_SECRET}`;
const OTHER_SECRET = 'YW5vdGhlci1zZWNyZXQtb2YtYW5vdGhlci10ZWFtLWhlcmU';
/** API key of a team whose plan has no routes. */
export const OTHER_KEY = `mb_others01_${OTHER_SECRET}`;

const SELF_VM = 'e1';
const CURRENT_MS = 1e9;
const SERVICE = 'orders';
const DEFAULT_SLOTS = 6;

/** Creates lists with one service and a route of each kind. */
export function createTestLists(): Lists {
  const route = { service: SERVICE, timeoutMs: 2_000, maxBodyBytes: 100_000 };
  return listsSchema.parse({
    teams: {
      asters: { plan: 'full', keys: ['asters01'] },
      others: { plan: 'none', keys: ['others01'] },
    },
    services: { [SERVICE]: {} },
    routes: {
      check: { ...route, methods: ['GET', 'PUT'], path: '/orders/:id', idempotent: true },
      place: { ...route, methods: ['POST'], path: '/orders' },
      maps: { ...route, methods: ['GET'], path: '/maps/*', idempotent: true, open: true },
    },
    plans: {
      full: { rate: 100, burst: 200, services: [SERVICE] },
      none: { rate: 1, burst: 1 },
    },
  });
}

function withExtraTeams(lists: Lists, count: number): Lists {
  const extra = Array.from({ length: count }, (_, i) => [
    `team-${i}`,
    { plan: 'full', keys: [`extra${i}`] },
  ]);
  return { ...lists, teams: { ...lists.teams, ...Object.fromEntries(extra) } };
}

function sha256(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}

function createConfig(lists: Lists): FleetConfig {
  const issuedAt = '2026-01-01T00:00:00Z';
  const entry = (
    vm: string,
    dataCentre: string,
    port: number,
  ): FleetConfig['view']['entries'][0] => ({
    vm,
    dataCentre,
    callerAddress: `127.0.0.1:${port}`,
    internalAddress: `127.0.0.1:${port + 1}`,
  });
  return {
    revision: 1,
    listsRevision: 1,
    lists,
    keys: {
      asters01: { team: 'asters', hash: sha256(TEST_SECRET), issuedAt },
      others01: { team: 'others', hash: sha256(OTHER_SECRET), issuedAt },
    },
    view: { epoch: 1, entries: [entry(SELF_VM, 'dc1', 7001), entry('e2', 'dc2', 7003)] },
    drainingEntries: [],
    removedEntries: [],
  };
}

export interface FixtureOptions {
  /** Addresses of targets that already run, used instead of starting `upstreams`. */
  readonly addresses?: readonly string[];
  /** Concurrency slots of each target, 6 by default. */
  readonly slots?: number;
  /** Number of additional teams with one API key each, to show that it does not slow down requests. */
  readonly extraTeams?: number;
  readonly upstreams?: readonly Partial<FakeUpstreamOptions>[];
  readonly limits?: Partial<EntryLimits>;
  readonly logger?: Logger;
}

/** A listening entry with its upstreams and the fakes through which a test controls it. */
export class EntryFixture {
  public readonly clock = new JumpingClock();

  public readonly blackboard = new Blackboard();

  public readonly budgets = new FakeBudgets();

  public readonly claims = new FakeClaims();

  public readonly metrics = new Metrics();

  public readonly pool: FakeTargetPool;

  public readonly queue: FakeQueue;

  public readonly upstream: UpstreamClient;

  public readonly server: EntryServer;

  public mayRetry = true;

  private constructor(
    public readonly upstreams: readonly FakeUpstream[],
    options: FixtureOptions,
  ) {
    const addresses = options.addresses ?? upstreams.map(({ address }) => address);
    const slots = options.slots ?? DEFAULT_SLOTS;
    this.pool = new FakeTargetPool(
      addresses.map((address, i) => ({ target: `t${i}`, address, slots })),
    );
    this.queue = new FakeQueue(this.pool);
    this.upstream = new UpstreamClient(this.clock);
    this.setLists(withExtraTeams(createTestLists(), options.extraTeams ?? 0));
    this.blackboard.freshness.set({
      currentUntil: CURRENT_MS,
      source: 'control',
      acceptedRevision: 1,
    });
    this.blackboard.peers.set({ current: [SELF_VM, 'e2'] });
    this.server = new EntryServer(this.createContext(options));
  }

  /** Starts the upstreams and the entry on free loopback ports. */
  public static async start(options: FixtureOptions = {}): Promise<EntryFixture> {
    const ownUpstreams = options.addresses === undefined ? [{}] : [];
    const upstreams = (options.upstreams ?? ownUpstreams).map(
      (upstream, i) => new FakeUpstream({ service: SERVICE, target: `t${i}`, ...upstream }),
    );
    await Promise.all(upstreams.map((upstream) => upstream.listen()));
    const fixture = new EntryFixture(upstreams, options);
    await fixture.server.listen(0, '127.0.0.1');
    return fixture;
  }

  public get url(): string {
    return `http://127.0.0.1:${this.server.port}`;
  }

  public get firstUpstream(): FakeUpstream {
    return this.upstreams[0]!;
  }

  /** Number of executions at all upstreams. */
  public get executions(): number {
    return this.upstreams.reduce((sum, upstream) => sum + upstream.executed.length, 0);
  }

  /** Puts lists in force. */
  public setLists(lists: Lists): void {
    const config = createConfig(lists);
    this.blackboard.config.set({ config, lists: new CompiledLists(lists) });
  }

  public async stop(): Promise<void> {
    await this.server.close();
    this.upstream.dispose();
    await Promise.all(this.upstreams.map((upstream) => upstream.crash()));
  }

  private createContext(options: FixtureOptions): EntryContext {
    const router = {
      pool: this.pool,
      queue: this.queue,
      retries: { recordRequest: () => undefined, tryRetry: () => this.mayRetry },
    };
    return {
      vm: SELF_VM,
      clock: this.clock,
      blackboard: this.blackboard,
      budgets: this.budgets,
      claims: this.claims,
      findRouter: (service) => (service === SERVICE ? router : undefined),
      upstream: this.upstream,
      logger: options.logger ?? new NullLogger(),
      metrics: this.metrics,
      limits: { ...DEFAULT_LIMITS, ...options.limits },
      isExcludedFromAddresses: () => this.pool.isSuspectedReporter,
    };
  }
}
