/** Test fixture: a running fleet with lists, a key and upstreams. */
import { FakeUpstream, type FakeUpstreamOptions } from '@marigoldbank/daemon/testing/FakeUpstream';
import type { Lists } from '@marigoldbank/lists/schema';
import { fetch } from 'undici';
import { ANNOUNCEMENT_SECRET, Fleet, waitUntil, type FleetOptions } from './Fleet.js';
import { OperatorClient, type IssuedKey } from './OperatorClient.js';

export const TEAM = 'harbour-hospital';

const START_TIMEOUT_MS = 20_000;

const CALL_TIMEOUT_MS = 3_000;

/** Result of a request as its caller sees it. */
export interface CallResult {
  /** HTTP status; 0 if no complete response arrived. */
  readonly status: number;
  readonly body: string;
  readonly verdict: string | undefined;
}

export interface CallOptions {
  readonly key: string;
  readonly method?: 'GET' | 'POST';
  readonly path?: string;
  readonly body?: string;
  readonly headers?: Record<string, string>;
  readonly timeoutMs?: number;
}

const NO_ANSWER: CallResult = { status: 0, body: '', verdict: undefined };

/** Lists with one service, an idempotent and a non-idempotent route, and one team. */
export function createLists(rate = 100_000, burst = 100_000): Lists {
  const common = { service: 'orders', open: false, timeoutMs: 2_000, maxBodyBytes: 10_000 };
  return {
    teams: { [TEAM]: { plan: 'pharmacy', keys: [] } },
    services: { orders: { profile: 'prompt-detection', floor: 0.6 } },
    routes: {
      'check-order': { ...common, methods: ['GET'], path: '/orders/:id', idempotent: true },
      'place-order': { ...common, methods: ['POST'], path: '/orders', idempotent: false },
    },
    plans: { pharmacy: { rate, burst, routes: [], services: ['orders'] } },
  };
}

function findVerdict(body: string): string | undefined {
  try {
    return (JSON.parse(body) as { verdict?: string }).verdict;
  } catch {
    return undefined;
  }
}

export class FleetFixture {
  public readonly upstreams: FakeUpstream[] = [];

  private constructor(
    public readonly fleet: Fleet,
    public readonly operator: OperatorClient,
    public readonly key: IssuedKey,
  ) {}

  /** Starts a fleet and waits until every entry serves the team. Stops all processes if that fails. */
  public static async start(
    options: FleetOptions,
    upstreams: readonly Partial<FakeUpstreamOptions>[] = [{}, {}, {}],
    lists = createLists(),
  ): Promise<FleetFixture> {
    const fleet = await Fleet.start(options);
    let fixture: FleetFixture | undefined;
    try {
      await fleet.waitReady(START_TIMEOUT_MS);
      const operator = new OperatorClient(fleet.controlAddresses);
      await operator.applyLists(lists);
      fixture = new FleetFixture(fleet, operator, await operator.issueKey(TEAM));
      await fixture.startUpstreams(upstreams);
      await fixture.waitAllServing();
      return fixture;
    } catch (err) {
      await (fixture ?? fleet).stop();
      throw err;
    }
  }

  public async stop(): Promise<void> {
    await Promise.all(this.upstreams.map((upstream) => upstream.crash()));
    await this.fleet.stop();
  }

  /** Sends one request to an entry. Never rejects. */
  public async call(entry: string, options: CallOptions): Promise<CallResult> {
    const { key, method = 'GET', path = '/orders/1', body, headers = {} } = options;
    const { timeoutMs = CALL_TIMEOUT_MS } = options;
    try {
      const res = await fetch(`${this.fleet.callerUrl(entry)}${path}`, {
        method,
        headers: { authorization: `Bearer ${key}`, ...headers },
        signal: AbortSignal.timeout(timeoutMs),
        ...(body === undefined ? {} : { body }),
      });
      const text = await res.text();
      return { status: res.status, body: text, verdict: findVerdict(text) };
    } catch {
      return NO_ANSWER;
    }
  }

  /** Waits until an entry answers a request with the team's key with 200. */
  public waitServing(entry: string, timeoutMs = START_TIMEOUT_MS): Promise<void> {
    return waitUntil(
      `${entry} serves`,
      async () => (await this.call(entry, { key: this.key.key })).status === 200,
      timeoutMs,
    );
  }

  private async waitAllServing(): Promise<void> {
    await Promise.all(this.fleet.entries.map((entry) => this.waitServing(entry)));
  }

  private async startUpstreams(upstreams: readonly Partial<FakeUpstreamOptions>[]): Promise<void> {
    const internal = this.fleet.entries.map((entry) => this.fleet.listenAddress(entry));
    await Promise.all(
      upstreams.map(async (options, i) => {
        const target = `orders-${i + 1}`;
        const dataCentre = ['dc-a', 'dc-b', 'dc-c'][i % 3]!;
        const upstream = new FakeUpstream({ service: 'orders', target, dataCentre, ...options });
        await upstream.listen();
        upstream.startAnnouncing(internal, ANNOUNCEMENT_SECRET);
        this.upstreams.push(upstream);
      }),
    );
  }
}
