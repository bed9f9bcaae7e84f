/** Retry budgets of all services as one hub counts them. */
import { RetryWindow, type RetryBudgetLimits } from '@marigoldbank/routing/RetryWindow';

/** Smallest change of a used part that is told to entries. */
const STEP_PERMILLE = 40;

/** Uses are repeated after this time, since entries stop trusting old ones. */
const REPEAT_MS = 600;

const PERMILLE = 1_000;

interface RetryUse {
  readonly window: RetryWindow;
  toldPermille: number;
  toldAt: number;
}

export class RetryBudgets {
  private readonly services = new Map<string, RetryUse>();

  public constructor(private readonly bounds: RetryBudgetLimits) {}

  public count(service: string, requests: number, repeats: number, now: number): void {
    const known = this.services.get(service);
    const use = known ?? { window: new RetryWindow(this.bounds), toldPermille: 0, toldAt: 0 };
    this.services.set(service, use);
    use.window.add(requests, repeats, now);
  }

  /**
   * Used parts of the budgets that changed, or were told too long ago. A hub that hears only some of the hubs may give
   * away only that share of the slack.
   */
  public takeUses(now: number, share: number): { service: string; usedPermille: number }[] {
    return [...this.services].flatMap(([service, use]) => {
      const usedPermille = Math.round(use.window.usedFraction(now, share) * PERMILLE);
      const isSteady = Math.abs(usedPermille - use.toldPermille) < STEP_PERMILLE;
      if (isSteady && now - use.toldAt < REPEAT_MS) return [];
      Object.assign(use, { toldPermille: usedPermille, toldAt: now });
      return [{ service, usedPermille }];
    });
  }
}
