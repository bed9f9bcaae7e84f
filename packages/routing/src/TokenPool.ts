/**
 * Tokens of teams that a hub has got from the holder of the budgets in advance. Without them each request of a team that
 * is low on tokens waits for an answer of the holder, which takes half a second while its VM is saturated.
 */
import type { TokenDecision, TokenGrant, TokenOrder } from './TeamBuckets.js';
import { TeamTokens } from './TeamTokens.js';

/** Times are monotonic ms. */
export class TokenPool {
  private readonly teams = new Map<string, TeamTokens>();

  /** Decides on a new request. Undefined if it has to wait for a grant. */
  public take(team: string, now: number): TokenDecision | undefined {
    return this.tokensOf(team, now).take(now);
  }

  /** Decides on a request that waits. Undefined if it has to wait on. */
  public retake(team: string, now: number): TokenDecision | undefined {
    return this.tokensOf(team, now).retake(now);
  }

  /** Forgets a request that waited and was decided otherwise. */
  public forgetWaiting(team: string): void {
    this.teams.get(team)?.forgetWaiting();
  }

  /** Tokens to order now: for requests that wait, and for those that are expected in the next `aheadMs`. */
  public takeOrders(aheadMs: number, now: number): TokenOrder[] {
    return [...this.teams].flatMap(([team, tokens]) => {
      const size = tokens.takeOrder(aheadMs, now);
      return size === undefined ? [] : [{ team, ...size }];
    });
  }

  /** Notes that an order is answered, or given up. */
  public closeOrder(order: TokenOrder): void {
    this.teams.get(order.team)?.closeOrder(order);
  }

  public addGrant(grant: TokenGrant, now: number): void {
    this.tokensOf(grant.team, now).addGrant(grant, now);
  }

  /** Forgets everything: another holder has not counted these tokens. */
  public clear(): void {
    this.teams.clear();
  }

  private tokensOf(team: string, now: number): TeamTokens {
    const known = this.teams.get(team);
    if (known !== undefined) return known;
    const created = new TeamTokens(now);
    this.teams.set(team, created);
    return created;
  }
}
