/** Retry budgets of all services, as counted by one hub. */
import { RetryWindow, type RetryBudgetLimits } from '@marigoldbank/routing/RetryWindow';

/** Minimum change of a budget's usage that is sent to entries at once. */
const MIN_CHANGE_PERMILLE = 40;

/** An unchanged usage is sent again after this time, since entries ignore old values. */
const RESEND_MS = 600;

const PERMILLE = 1_000;

interface RetryUse {
  readonly window: RetryWindow;
  sentPermille: number;
  sentAt: number;
}

export class RetryBudgets {
  private readonly services = new Map<string, RetryUse>();

  public constructor(private readonly bounds: RetryBudgetLimits) {}

  public add(service: string, requests: number, repeats: number, now: number): void {
    const known = this.services.get(service);
    const use = known ?? { window: new RetryWindow(this.bounds), sentPermille: 0, sentAt: 0 };
    this.services.set(service, use);
    use.window.add(requests, repeats, now);
  }

  /**
   * Returns the usage of budgets that changed or were last sent too long ago. `share` is the share of the hubs that
   * this hub reaches; it grants only that share of the slack.
   */
  public takeChanges(now: number, share: number): { service: string; usedPermille: number }[] {
    return [...this.services].flatMap(([service, use]) => {
      const usedPermille = Math.round(use.window.usedFraction(now, share) * PERMILLE);
      const isSteady = Math.abs(usedPermille - use.sentPermille) < MIN_CHANGE_PERMILLE;
      if (isSteady && now - use.sentAt < RESEND_MS) return [];
      Object.assign(use, { sentPermille: usedPermille, sentAt: now });
      return [{ service, usedPermille }];
    });
  }
}
