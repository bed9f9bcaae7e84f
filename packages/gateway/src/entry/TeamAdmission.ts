/** Charges requests to the rate limits of their teams. */
import { delay, type Clock } from '@marigoldbank/base/clock';
import type { Team } from '@marigoldbank/routing/plan';
import { teamAdmissionsTotal, teamRefusalsTotal, teamTokensReturnedTotal } from '../metrics.js';
import type { ErrorResponse } from './ErrorResponse.js';
import type { EntryState } from './EntryState.js';
import type { HubReporter } from './HubReporter.js';

export interface AdmissionContext {
  readonly clock: Clock;
  readonly state: EntryState;
  readonly reporter: HubReporter;
}

/** Time after which hubs count an entry without contact as lost, and the holder withholds its share of all rates. */
const WITHHELD_AFTER_MS = 3_000;

/** How an entry admitted a request without a token. */
type AdmittedBy =
  /** The holder counts it afterwards. */
  | 'ahead'
  /** The holder was asked and has not answered in time. */
  | 'unanswered'
  /** No holder is known. */
  | 'alone';

export class TeamAdmission {
  public constructor(private readonly ctx: AdmissionContext) {}

  /**
   * Charges one request to the team's budget. Returns undefined if it is admitted, or else the error response. Waits at
   * most `maxWaitMs` for a token, except that the budget holder always gets a minimum time to answer.
   */
  public async charge(
    team: Team | undefined,
    maxWaitMs: number,
  ): Promise<ErrorResponse | undefined> {
    if (team === undefined) return undefined;
    const { state, clock, reporter } = this.ctx;
    const now = clock.now();
    const hasHolder = state.hasBudgetHolder(now);
    const decision = state.teamLimiter.decide(team, hasHolder, state.entryCount, maxWaitMs, now);
    if (decision.kind === 'refused') {
      const decidedBy = hasHolder ? 'holder' : 'entry';
      return TeamAdmission.overQuota(team, decision.retryAfterMs, decidedBy);
    }
    if (decision.kind === 'admitted') {
      return this.admit(team, decision.afterMs, hasHolder ? 'ahead' : 'alone');
    }
    const token = await reporter.requestToken(team.name, maxWaitMs);
    if (token.kind === 'granted') {
      state.teamLimiter.countAdmitted(team.name, 1, clock.now());
      teamAdmissionsTotal.inc({ by: 'token' });
      return undefined;
    }
    if (token.kind === 'refused') {
      state.teamLimiter.recordRefusal(team.name, token.retryAfterMs, clock.now());
      return TeamAdmission.overQuota(team, token.retryAfterMs, 'holder');
    }
    const leftMs = Math.max(0, maxWaitMs - (clock.now() - now));
    const local = state.teamLimiter.decideLocally(team, state.entryCount, leftMs, clock.now());
    return local.kind === 'refused'
      ? TeamAdmission.overQuota(team, local.retryAfterMs, 'entry')
      : this.admit(team, local.afterMs, 'unanswered');
  }

  /**
   * Returns the token of an admitted request that was not run and never will be. A caller that is told so comes back, and
   * would use up the rate of its team with requests that nobody runs.
   */
  public giveBack(team: Team): void {
    if (team.ratePerSecond === 0) return;
    const { state, clock, reporter } = this.ctx;
    const now = clock.now();
    const hasHolder = state.hasBudgetHolder(now);
    teamTokensReturnedTotal.inc();
    if (!hasHolder) state.teamLimiter.returnLocally(team.name, now);
    state.teamLimiter.countAdmitted(team.name, -1, now);
    if (this.isCounted(hasHolder, now)) reporter.returnToken(team.name);
  }

  private async admit(team: Team, afterMs: number, by: AdmittedBy): Promise<undefined> {
    const { state, reporter, clock } = this.ctx;
    if (team.ratePerSecond > 0) teamAdmissionsTotal.inc({ by });
    state.teamLimiter.countAdmitted(team.name, 1, clock.now());
    if (this.isCounted(by !== 'alone', clock.now())) reporter.countTeamRequest(team.name);
    if (afterMs > 0) await delay(this.ctx.clock, afterMs);
  }

  /**
   * Whether the holder is to charge a request. With a tolerance, the next holder gets the history of those without one instead: its
   * buckets would not refill for their time. Without, it has withheld the share of this entry for all but the first seconds.
   */
  private isCounted(hasHolder: boolean, now: number): boolean {
    if (hasHolder) return true;
    const { state } = this.ctx;
    if (state.teamLimiter.hasTolerance) return false;
    const ageMs = state.budgetHolderAgeMs(now);
    return ageMs < WITHHELD_AFTER_MS || ageMs === Infinity;
  }

  private static overQuota(
    team: Team,
    retryAfterMs: number,
    decidedBy: 'holder' | 'entry',
  ): ErrorResponse {
    teamRefusalsTotal.inc({ decided_by: decidedBy });
    return {
      kind: 'overQuota',
      verdict: 'notRun',
      retryAfterMs: Math.ceil(retryAfterMs),
      team: team.name,
      decidedBy,
    };
  }
}
