/**
 * Orders tokens of teams from the hub that holds the budgets, for the entries of this hub: in advance and for all teams at
 * once, one order at a time. With one message for each token the entries waited for the VM of the leader, which has the most
 * to do: after a loss of power of all control VMs, for three seconds half of the requests of all teams were refused.
 */
import type { Clock } from '@marigoldbank/base/clock';
import type { IDisposable } from '@marigoldbank/base/lifecycle';
import type { TokenDecision, TokenGrant, TokenOrder } from '@marigoldbank/routing/TeamBuckets';
import { TOKEN_LIFETIME_MS } from '@marigoldbank/routing/TeamTokens';
import { TokenPool } from '@marigoldbank/routing/TokenPool';

/** Minimum time between two orders, also as a fraction of the time that an answer takes: a late leader gets fewer orders. */
const ORDER_INTERVAL_MS = 50;
const INTERVAL_FRACTION = 0.2;

/** An order without an answer for this long counts as lost. */
const ORDER_TIMEOUT_MS = 1_000;

/** A request that has waited longer has been decided by its entry. */
const MAX_WAIT_MS = 1_000;

/** Weight of the newest answer in the average time to an answer. */
const SMOOTHING = 0.3;

/** Tokens are ordered in advance for the time until the next order is answered, within these bounds. */
const MIN_AHEAD_MS = 100;
const MAX_AHEAD_MS = TOKEN_LIFETIME_MS;

export interface OrdererContext {
  readonly clock: Clock;
  readonly send: (message: { readonly id: number; readonly orders: TokenOrder[] }) => void;
}

interface WaitingRequest {
  readonly team: string;
  readonly since: number;
  readonly answer: (decision: TokenDecision) => void;
}

interface OpenOrder {
  readonly orders: readonly TokenOrder[];
  readonly at: number;
}

export class TokenOrderer implements IDisposable {
  private readonly pool = new TokenPool();

  private waiting: readonly WaitingRequest[] = [];

  /** Orders under way, by number. */
  private readonly open = new Map<number, OpenOrder>();

  private lastId = 0;

  private orderedAt = -Infinity;

  /** Smoothed time from an order to its answer. */
  private answerMs = 0;

  private timer: IDisposable | undefined;

  public constructor(private readonly ctx: OrdererContext) {}

  /** Decides on a request of an entry, at once or with a later grant. */
  public request(team: string, answer: (decision: TokenDecision) => void): void {
    const now = this.ctx.clock.now();
    const decision = this.pool.take(team, now);
    if (decision === undefined) this.waiting = [...this.waiting, { team, since: now, answer }];
    else answer(decision);
    this.schedule();
  }

  /** Takes the answer to an order. Tokens that come after the order has counted as lost are of use as well. */
  public take(id: number, grants: readonly TokenGrant[]): void {
    const now = this.ctx.clock.now();
    const order = this.open.get(id);
    if (order !== undefined) this.answerMs += SMOOTHING * (now - order.at - this.answerMs);
    this.close(id);
    grants.forEach((grant) => this.pool.addGrant(grant, now));
    this.answerWaiting(now);
  }

  /** Forgets tokens and requests: another hub holds the budgets now, or this one. */
  public clear(): void {
    this.pool.clear();
    this.open.clear();
    this.waiting = [];
  }

  public dispose(): void {
    this.timer?.dispose();
  }

  private close(id: number): void {
    this.open.get(id)?.orders.forEach((order) => this.pool.closeOrder(order));
    this.open.delete(id);
  }

  private answerWaiting(now: number): void {
    this.waiting = this.waiting.filter(({ team, since, answer }) => {
      if (now - since > MAX_WAIT_MS) {
        this.pool.forgetWaiting(team);
        return false;
      }
      const decision = this.pool.retake(team, now);
      if (decision !== undefined) answer(decision);
      return decision === undefined;
    });
  }

  private schedule(): void {
    if (this.timer !== undefined) return;
    const { clock } = this.ctx;
    const intervalMs = Math.max(ORDER_INTERVAL_MS, INTERVAL_FRACTION * this.answerMs);
    const waitMs = Math.max(0, this.orderedAt + intervalMs - clock.now());
    this.timer = clock.setTimeout(() => {
      this.timer = undefined;
      this.order();
    }, waitMs);
  }

  private order(): void {
    const { clock, send } = this.ctx;
    const now = clock.now();
    this.orderedAt = now;
    [...this.open]
      .filter(([, { at }]) => now - at > ORDER_TIMEOUT_MS)
      .forEach(([id]) => this.close(id));
    this.answerWaiting(now);
    const aheadMs = Math.min(MAX_AHEAD_MS, Math.max(MIN_AHEAD_MS, this.answerMs));
    const orders = this.pool.takeOrders(aheadMs, now);
    if (orders.length > 0) {
      this.lastId += 1;
      this.open.set(this.lastId, { orders, at: now });
      send({ id: this.lastId, orders });
    }
    // Waiting requests are ordered again if an order is lost.
    if (this.waiting.length > 0) this.schedule();
  }
}
