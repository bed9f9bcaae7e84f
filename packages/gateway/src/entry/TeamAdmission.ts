/** Takes requests from the budgets of their teams. */
import { delay, type Clock } from '@marigoldbank/base/clock';
import type { Team } from '@marigoldbank/routing/plan';
import type { Reply } from './ErrorResponse.js';
import type { EntryBoard } from './EntryState.js';
import type { Reporter } from './Reporter.js';

export interface AdmissionContext {
  readonly clock: Clock;
  readonly board: EntryBoard;
  readonly reporter: Reporter;
}

export class TeamAdmission {
  public constructor(private readonly ctx: AdmissionContext) {}

  /** Takes one request from the team's budget, or says why not. Waits at most `patienceMs` for a token of this entry. */
  public async charge(team: Team | undefined, patienceMs: number): Promise<Reply | undefined> {
    if (team === undefined) return undefined;
    const { board, clock, reporter } = this.ctx;
    const now = clock.now();
    const hasHolder = board.hasBudgetHolder(now);
    const decision = board.teams.decide(team, hasHolder, board.entries, patienceMs, now);
    if (decision.kind === 'refused') {
      const decidedBy = hasHolder ? 'holder' : 'entry';
      return TeamAdmission.overQuota(team, decision.retryAfterMs, decidedBy);
    }
    if (decision.kind === 'admitted') return this.admit(team, decision.afterMs);
    const token = await reporter.askToken(team.name, patienceMs);
    if (token.kind === 'granted') return undefined;
    if (token.kind === 'refused') {
      board.teams.recordRefusal(team.name, token.retryAfterMs, clock.now());
      return TeamAdmission.overQuota(team, token.retryAfterMs, 'holder');
    }
    const leftMs = Math.max(0, patienceMs - (clock.now() - now));
    const alone = board.teams.decideLocally(team, board.entries, leftMs, clock.now());
    return alone.kind === 'refused'
      ? TeamAdmission.overQuota(team, alone.retryAfterMs, 'entry')
      : this.admit(team, alone.afterMs);
  }

  private async admit(team: Team, afterMs: number): Promise<undefined> {
    this.ctx.reporter.teamUsed(team.name);
    if (afterMs > 0) await delay(this.ctx.clock, afterMs);
  }

  private static overQuota(team: Team, retryAfterMs: number, decidedBy: 'holder' | 'entry'): Reply {
    return {
      kind: 'overQuota',
      verdict: 'notRun',
      retryAfterMs: Math.ceil(retryAfterMs),
      team: team.name,
      decidedBy,
    };
  }
}
