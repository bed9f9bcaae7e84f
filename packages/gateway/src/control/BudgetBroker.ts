/** Team budgets and retry budgets as one hub sees them. */
import type { Team } from '@marigoldbank/routing/plan';
import { RetryWindow, type RetryBounds } from '@marigoldbank/routing/RetryWindow';
import { TeamBuckets, type TeamMode, type TokenDecision } from '@marigoldbank/routing/TeamBuckets';

/** Smallest change of a used part that is told to entries. */
const RETRY_STEP_PERMILLE = 40;

/** Retry uses are repeated after this time, since entries stop trusting old ones. */
const RETRY_REPEAT_MS = 600;

const PERMILLE = 1_000;

interface RetryUse {
  readonly window: RetryWindow;
  toldPermille: number;
  toldAt: number;
}

/** The leader holds the buckets of all teams; every hub counts requests and repeats of all services. */
export class BudgetBroker {
  private readonly buckets = new TeamBuckets();

  private readonly retries = new Map<string, RetryUse>();

  private isHolder = false;

  private teams: readonly Team[] = [];

  public constructor(private readonly bounds: RetryBounds) {}

  public get holdsBuckets(): boolean {
    return this.isHolder;
  }

  /** Starts or ends holding the buckets. A new holder starts with little, since its predecessor has lent the rest. */
  public setHolder(isHolder: boolean, now: number): void {
    if (this.isHolder === isHolder) return;
    this.isHolder = isHolder;
    this.buckets.clear();
    if (isHolder) this.buckets.configure(this.teams, now);
  }

  public setTeams(teams: readonly Team[], now: number): void {
    this.teams = teams;
    if (this.isHolder) this.buckets.configure(teams, now);
  }

  public report(team: string, admitted: number, now: number): void {
    if (this.isHolder) this.buckets.report(team, admitted, now);
  }

  public take(team: string, now: number): TokenDecision {
    return this.buckets.take(team, now);
  }

  public takeModeChanges(now: number): TeamMode[] {
    return this.isHolder ? this.buckets.takeModeChanges(now) : [];
  }

  public modes(): TeamMode[] {
    return this.isHolder ? this.buckets.modes() : [];
  }

  public countRequests(service: string, requests: number, repeats: number, now: number): void {
    const known = this.retries.get(service);
    const use = known ?? { window: new RetryWindow(this.bounds), toldPermille: 0, toldAt: 0 };
    this.retries.set(service, use);
    use.window.add(requests, repeats, now);
  }

  /**
   * Used parts of the retry budgets that changed, or were told too long ago. A hub that hears only some of the hubs may
   * give away only that share of the slack.
   */
  public takeRetryUses(now: number, share: number): { service: string; usedPermille: number }[] {
    return [...this.retries].flatMap(([service, use]) => {
      const usedPermille = Math.round(use.window.used(now, share) * PERMILLE);
      const isSteady = Math.abs(usedPermille - use.toldPermille) < RETRY_STEP_PERMILLE;
      if (isSteady && now - use.toldAt < RETRY_REPEAT_MS) return [];
      Object.assign(use, { toldPermille: usedPermille, toldAt: now });
      return [{ service, usedPermille }];
    });
  }
}
