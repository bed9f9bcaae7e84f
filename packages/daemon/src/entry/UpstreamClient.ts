/** Connection pools to upstream targets. */
import { DisposableStore, type IDisposable } from '@marigoldbank/base/lifecycle';
import { setPeriodic, type Clock } from '@marigoldbank/base/clock';
import { Pool } from 'undici';
import { HEADER_REQUEST_ID, HEADER_TIMEOUT } from './constants.js';
import {
  UpstreamExchange,
  type DispatchCheckFailure,
  type ResponseRules,
} from './UpstreamExchange.js';

/** Header names and timeouts for requests to upstreams. */
export interface UpstreamProtocol extends ResponseRules {
  /** Header that carries the time left for the request, in milliseconds. */
  readonly timeoutHeader: string;
  /** Time for establishing a connection. */
  readonly connectTimeoutMs: number;
  /** Time that an idle connection is kept open, unless the upstream announces a shorter one. */
  readonly keepAliveTimeoutMs: number;
}

const DEFAULT_PROTOCOL: UpstreamProtocol = {
  requestIdHeader: HEADER_REQUEST_ID,
  requiresEcho: false,
  timeoutHeader: HEADER_TIMEOUT,
  connectTimeoutMs: 1_000,
  // Shorter than the 5 s after which many servers close idle connections, so that few requests hit a closing connection.
  keepAliveTimeoutMs: 4_000,
};

/** Time after which the connections to an unused target are closed. */
const POOL_IDLE_TIMEOUT_MS = 60_000;

/**
 * A pool is replaced only when the requested connection limit falls below this fraction of its own limit. The share of an
 * entry changes whenever an entry joins or leaves, and a new pool has to reopen every connection.
 */
const MIN_LIMIT_RATIO = 0.5;

/** Interval of checks for targets that send bytes without end. */
const OVERHEAD_CHECK_MS = 100;

export interface UpstreamRequest {
  /** `ip:port` of the target. */
  readonly address: string;
  /** Maximum number of connections from this entry to the target. */
  readonly maxConnections: number;
  readonly method: string;
  /** Path and query. */
  readonly target: string;
  /** Alternating names and values. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  readonly requestId: string;
  /** Monotonic ms. */
  readonly deadlineAt: number;
  readonly signal: AbortSignal;
  /** Final check, run in the event loop turn that sends the first byte. */
  readonly checkDispatch: () => DispatchCheckFailure | undefined;
}

interface TargetPool {
  readonly pool: Pool;
  readonly maxConnections: number;
  lastUsedAt: number;
  activeExchanges: number;
  openConnections: number;
}

/** Keeps one connection pool per target, without pipelining and retries. */
export class UpstreamClient implements IDisposable {
  private readonly pools = new Map<string, TargetPool>();

  private readonly exchanges = new Set<UpstreamExchange>();

  private readonly store = new DisposableStore();

  public constructor(
    private readonly clock: Clock,
    private readonly protocol: UpstreamProtocol = DEFAULT_PROTOCOL,
  ) {
    this.store.add(setPeriodic(clock, () => this.closeIdlePools(), POOL_IDLE_TIMEOUT_MS));
    const check = (): void => this.exchanges.forEach((exchange) => exchange.checkOverhead());
    this.store.add(setPeriodic(clock, check, OVERHEAD_CHECK_MS));
  }

  /** Starts one exchange. It is aborted at the deadline or when the signal aborts. */
  public send(req: UpstreamRequest): UpstreamExchange {
    const targetPool = this.getPool(req.address, req.maxConnections);
    if (targetPool === undefined) return this.refuseAddress(req);
    const disposables = new DisposableStore();
    const exchange = new UpstreamExchange(
      req.method,
      req.requestId,
      this.protocol,
      req.checkDispatch,
      () => {
        targetPool.activeExchanges -= 1;
        this.exchanges.delete(exchange);
        disposables.dispose();
      },
    );
    targetPool.activeExchanges += 1;
    this.exchanges.add(exchange);
    this.abortOnDeadlineOrCancel(exchange, req, disposables);
    this.dispatch(targetPool.pool, req, exchange);
    return exchange;
  }

  /** Whether a request to this address would most likely be sent on a connection that is already open. */
  public hasIdleConnection(address: string): boolean {
    const targetPool = this.pools.get(address);
    return targetPool !== undefined && targetPool.openConnections > targetPool.activeExchanges;
  }

  public dispose(): void {
    this.store.dispose();
    this.pools.forEach(({ pool }) => {
      pool.destroy().catch(() => undefined);
    });
    this.pools.clear();
  }

  /** An exchange that has failed, without anything being sent. */
  private refuseAddress(req: UpstreamRequest): UpstreamExchange {
    const { method, requestId, checkDispatch, address } = req;
    const exchange = new UpstreamExchange(
      method,
      requestId,
      this.protocol,
      checkDispatch,
      () => undefined,
    );
    exchange.abort('connectFailed', `${address} is no address`);
    return exchange;
  }

  private abortOnDeadlineOrCancel(
    exchange: UpstreamExchange,
    req: UpstreamRequest,
    lifetime: DisposableStore,
  ): void {
    const onAbort = (): void => exchange.abort('cancelled', 'the caller went away');
    req.signal.addEventListener('abort', onAbort, { once: true });
    lifetime.add({ dispose: () => req.signal.removeEventListener('abort', onAbort) });
    const remainingMs = Math.max(0, req.deadlineAt - this.clock.now());
    lifetime.add(
      this.clock.setTimeout(
        () => exchange.abort('timedOut', 'no complete response before the deadline'),
        remainingMs,
      ),
    );
    if (req.signal.aborted) onAbort();
  }

  private dispatch(pool: Pool, req: UpstreamRequest, exchange: UpstreamExchange): void {
    const remainingMs = Math.max(1, Math.floor(req.deadlineAt - this.clock.now()));
    try {
      pool.dispatch(
        {
          path: req.target,
          method: req.method,
          headers: [...req.headers, this.protocol.timeoutHeader, String(remainingMs)],
          body: req.body.length > 0 ? req.body : null,
          idempotent: false,
        },
        exchange,
      );
    } catch (err) {
      exchange.abort('connectFailed', err instanceof Error ? err.message : String(err));
    }
  }

  /** Returns undefined if the address cannot be connected to at all. */
  private getPool(address: string, maxConnections: number): TargetPool | undefined {
    const existing = this.pools.get(address);
    if (existing !== undefined && maxConnections >= existing.maxConnections * MIN_LIMIT_RATIO) {
      existing.lastUsedAt = this.clock.now();
      return existing;
    }
    if (existing !== undefined) UpstreamClient.closePool(existing);
    if (!URL.canParse(`http://${address}`)) return undefined;
    const pool = new Pool(`http://${address}`, {
      connections: maxConnections,
      pipelining: 1,
      connectTimeout: this.protocol.connectTimeoutMs,
      keepAliveTimeout: this.protocol.keepAliveTimeoutMs,
      keepAliveMaxTimeout: this.protocol.keepAliveTimeoutMs,
      // Disabled, since each exchange has its own deadline.
      headersTimeout: 0,
      bodyTimeout: 0,
      strictContentLength: true,
    });
    const created = {
      pool,
      maxConnections,
      lastUsedAt: this.clock.now(),
      activeExchanges: 0,
      openConnections: 0,
    };
    pool.on('connect', () => {
      created.openConnections += 1;
    });
    pool.on('disconnect', () => {
      created.openConnections -= 1;
    });
    this.pools.set(address, created);
    return created;
  }

  private closeIdlePools(): void {
    const usedBefore = this.clock.now() - POOL_IDLE_TIMEOUT_MS;
    [...this.pools]
      .filter(
        ([, { lastUsedAt, activeExchanges }]) => lastUsedAt < usedBefore && activeExchanges === 0,
      )
      .forEach(([address, targetPool]) => {
        this.pools.delete(address);
        UpstreamClient.closePool(targetPool);
      });
  }

  /** Closes a pool once its active exchanges have ended. */
  private static closePool(targetPool: TargetPool): void {
    targetPool.pool.close().catch(() => undefined);
  }
}
