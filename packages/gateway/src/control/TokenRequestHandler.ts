/** Handles token requests of entries: decides them if this hub grants tokens, or forwards them to the leader. */
import type {
  RelayedToken,
  RelayedTokenAnswer,
  TeamUse,
  TokenRequest,
} from '@marigoldbank/protocol/gen/marigoldbank/v1/sync_pb';
import type { EntrySession } from './EntrySession.js';
import type { PeerHub } from './PeerHub.js';
import type { RelayLink } from './RelayLink.js';
import type { TeamBudgets } from './TeamBudgets.js';

export interface TokenRequestContext {
  readonly teamBudgets: TeamBudgets;
  readonly isLeader: () => boolean;
  readonly leaderLink: () => RelayLink | undefined;
  readonly linkTo: (peer: PeerHub) => RelayLink | undefined;
  readonly sessionOf: (vm: string) => EntrySession | undefined;
}

interface TokenResult {
  readonly id: number;
  readonly isGranted: boolean;
  readonly retryAfterMs: number;
}

export class TokenRequestHandler {
  public constructor(private readonly ctx: TokenRequestContext) {}

  /** Charges requests that an entry has already admitted. */
  public chargeUses(uses: readonly TeamUse[], now: number): void {
    const { teamBudgets, leaderLink } = this.ctx;
    uses.forEach(({ team, admitted }) => {
      if (teamBudgets.isGranting) teamBudgets.charge(team, admitted, now);
      else leaderLink()?.addTeamUse(team, admitted);
    });
    if (uses.length > 0) teamBudgets.publishModeChanges(now);
  }

  /** Answers the requests of an entry that is connected to this hub, or forwards them to the leader. */
  public answerEntry(entry: string, tokens: readonly TokenRequest[], now: number): void {
    const { teamBudgets, leaderLink, sessionOf } = this.ctx;
    tokens.forEach(({ id, team }) => {
      if (teamBudgets.isGranting) sessionOf(entry)?.answerToken(this.decide(id, team, now));
      else leaderLink()?.addTokenRequest({ id, team, entry });
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

  /** Forwards answers of the leader to the entries that sent the requests. */
  public deliverAnswers(answers: readonly RelayedTokenAnswer[]): void {
    answers.forEach(({ entry, answer }) => {
      if (answer !== undefined) this.ctx.sessionOf(entry)?.answerToken(answer);
    });
  }

  private decide(id: number, team: string, now: number): TokenResult {
    const decision = this.ctx.teamBudgets.take(team, now);
    const isGranted = decision.kind === 'granted';
    return { id, isGranted, retryAfterMs: isGranted ? 0 : decision.retryAfterMs };
  }
}
