/** Questions of entries for tokens of their teams: decided here, or passed on to the leader. */
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
  readonly lending: TeamBudgets;
  readonly isLeader: () => boolean;
  readonly leaderLink: () => RelayLink | undefined;
  readonly linkTo: (peer: PeerHub) => RelayLink | undefined;
  readonly sessionOf: (vm: string) => EntrySession | undefined;
}

interface TokenDecided {
  readonly id: number;
  readonly isGranted: boolean;
  readonly retryAfterMs: number;
}

export class TokenRequestHandler {
  public constructor(private readonly ctx: TokenRequestContext) {}

  /** Charges requests that an entry admitted already. */
  public reportUses(uses: readonly TeamUse[], now: number): void {
    const { lending, leaderLink } = this.ctx;
    uses.forEach(({ team, admitted }) => {
      if (lending.isLending) lending.report(team, admitted, now);
      else leaderLink()?.addTeamUse(team, admitted);
    });
    if (uses.length > 0) lending.tell(now);
  }

  /** Answers an entry that follows this hub, or asks the leader for it. */
  public ask(entry: string, tokens: readonly TokenRequest[], now: number): void {
    const { lending, leaderLink, sessionOf } = this.ctx;
    tokens.forEach(({ id, team }) => {
      if (lending.isLending) sessionOf(entry)?.answerToken(this.decide(id, team, now));
      else leaderLink()?.send({ tokens: [{ id, team, entry }] });
    });
  }

  /** Answers another hub. Only the leader lends to the entries of others. */
  public answerHub(peer: PeerHub, tokens: readonly RelayedToken[], now: number): void {
    const { isLeader, linkTo } = this.ctx;
    if (!isLeader()) return;
    tokens.forEach(({ id, team, entry }) =>
      linkTo(peer)?.send({ answers: [{ entry, answer: this.decide(id, team, now) }] }),
    );
  }

  /** Passes answers of the leader on to the entries that asked. */
  public deliver(answers: readonly RelayedTokenAnswer[]): void {
    answers.forEach(({ entry, answer }) => {
      if (answer !== undefined) this.ctx.sessionOf(entry)?.answerToken(answer);
    });
  }

  private decide(id: number, team: string, now: number): TokenDecided {
    const decision = this.ctx.lending.take(team, now);
    const isGranted = decision.kind === 'granted';
    return { id, isGranted, retryAfterMs: isGranted ? 0 : decision.retryAfterMs };
  }
}
