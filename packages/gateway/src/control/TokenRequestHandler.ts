/** Handles token requests of entries: decides them if this hub grants tokens, or gets tokens from the leader. */
import type { Clock } from '@marigoldbank/base/clock';
import type {
  RelayedToken,
  RelayedTokenAnswer,
  TeamUse,
  TokenGrants,
  TokenOrders,
  TokenRequest,
} from '@marigoldbank/protocol/gen/marigoldbank/v1/sync_pb';
import type { TokenDecision } from '@marigoldbank/routing/TeamBuckets';
import { usedOf } from '../sync/team-use.js';
import type { EntrySession } from './EntrySession.js';
import type { PeerHub } from './PeerHub.js';
import type { RelayLink } from './RelayLink.js';
import type { TeamBudgets } from './TeamBudgets.js';
import { TokenOrderer } from './TokenOrderer.js';

export interface TokenRequestContext {
  readonly clock: Clock;
  readonly teamBudgets: TeamBudgets;
  readonly isLeader: () => boolean;
  /** The leader, if it is another hub. */
  readonly leader: () => PeerHub | undefined;
  readonly linkTo: (peer: PeerHub) => RelayLink | undefined;
  readonly sessionOf: (vm: string) => EntrySession | undefined;
}

interface TokenResult {
  readonly id: number;
  readonly isGranted: boolean;
  readonly retryAfterMs: number;
}

function toResult(id: number, decision: TokenDecision): TokenResult {
  const isGranted = decision.kind === 'granted';
  return { id, isGranted, retryAfterMs: isGranted ? 0 : Math.ceil(decision.retryAfterMs) };
}

export class TokenRequestHandler {
  private readonly orderer: TokenOrderer;

  /** Address of the leader that the tokens in advance are from. */
  private orderedFrom: string | undefined;

  public constructor(private readonly ctx: TokenRequestContext) {
    this.orderer = new TokenOrderer({
      clock: ctx.clock,
      send: (orders) => this.leaderLink()?.sendTokenOrders(orders),
    });
  }

  /** Charges requests that an entry has already admitted, less those that were not run. */
  public chargeUses(uses: readonly TeamUse[], now: number): void {
    const { teamBudgets } = this.ctx;
    uses.forEach((use) => {
      if (teamBudgets.isGranting) teamBudgets.charge(use.team, usedOf(use), now);
      else this.leaderLink()?.addTeamUse(use.team, usedOf(use));
    });
    if (uses.length > 0) teamBudgets.publishModeChanges(now);
  }

  /** Answers the requests of an entry that is connected to this hub, with tokens of the leader if it grants them. */
  public answerEntry(entry: string, tokens: readonly TokenRequest[], now: number): void {
    if (tokens.length === 0) return;
    const { teamBudgets, sessionOf } = this.ctx;
    const takesOrders = this.followLeader();
    tokens.forEach(({ id, team }) => {
      if (teamBudgets.isGranting) sessionOf(entry)?.answerToken(this.decide(id, team, now));
      else if (takesOrders) this.order(entry, id, team);
      else this.leaderLink()?.addTokenRequest({ id, team, entry });
    });
  }

  /** Answers requests that another hub forwarded. Only the leader grants tokens to entries of other hubs. */
  public answerHub(peer: PeerHub, tokens: readonly RelayedToken[], now: number): void {
    const { isLeader, linkTo } = this.ctx;
    if (!isLeader()) return;
    tokens.forEach(({ id, team, entry }) =>
      linkTo(peer)?.addTokenAnswer({ entry, answer: this.decide(id, team, now) }),
    );
  }

  /** Grants tokens that another hub has ordered, as leader. */
  public answerOrders(peer: PeerHub, message: TokenOrders | undefined, now: number): void {
    const { isLeader, linkTo, teamBudgets } = this.ctx;
    if (message === undefined || !isLeader()) return;
    const grants = message.orders.map((order) => teamBudgets.takeOrder(order, now));
    linkTo(peer)?.sendTokenGrants({ id: message.id, grants });
  }

  /** Takes tokens that the leader has granted. */
  public takeGrants(peer: PeerHub, grants: TokenGrants | undefined): void {
    if (grants === undefined || peer.address !== this.orderedFrom) return;
    if (this.followLeader()) this.orderer.take(grants.id, grants.grants);
  }

  /** Forwards answers of the leader to the entries that sent the requests. */
  public deliverAnswers(answers: readonly RelayedTokenAnswer[]): void {
    answers.forEach(({ entry, answer }) => {
      if (answer !== undefined) this.ctx.sessionOf(entry)?.answerToken(answer);
    });
  }

  public dispose(): void {
    this.orderer.dispose();
  }

  /** Forgets the tokens of another leader. Returns whether the leader takes orders; one of an older release does not. */
  private followLeader(): boolean {
    const { teamBudgets, leader } = this.ctx;
    const current = teamBudgets.isGranting ? undefined : leader();
    if (current?.address !== this.orderedFrom) {
      this.orderer.clear();
      this.orderedFrom = current?.address;
    }
    return current?.takesTokenOrders === true;
  }

  private order(entry: string, id: number, team: string): void {
    this.orderer.request(team, (decision) =>
      this.ctx.sessionOf(entry)?.answerToken(toResult(id, decision)),
    );
  }

  private leaderLink(): RelayLink | undefined {
    const leader = this.ctx.leader();
    return leader === undefined ? undefined : this.ctx.linkTo(leader);
  }

  private decide(id: number, team: string, now: number): TokenResult {
    return toResult(id, this.ctx.teamBudgets.take(team, now));
  }
}
