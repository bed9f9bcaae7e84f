/** Retry budgets of all services, as counted by one hub. */
import { RetryWindow, type RetryBudgetLimits } from '@marigoldbank/routing/RetryWindow';
import { retryBudgetUsed } from '../metrics.js';

/** A smaller change of a budget's usage is not sent to entries before `RESEND_MS`. */
const MIN_CHANGE_PERMILLE = 40;

/** An unchanged usage is sent again after this time, since entries ignore old values. */
const RESEND_MS = 600;

const PERMILLE = 1_000;

interface ServiceBudget {
  readonly window: RetryWindow;
  sentPermille: number;
  sentAt: number;
}

export class RetryBudgets {
  private readonly services = new Map<string, ServiceBudget>();

  public constructor(private readonly bounds: RetryBudgetLimits) {}

  public add(service: string, requests: number, retries: number, now: number): void {
    const known = this.services.get(service);
    const budget = known ?? { window: new RetryWindow(this.bounds), sentPermille: 0, sentAt: 0 };
    this.services.set(service, budget);
    budget.window.add(requests, retries, now);
  }

  /**
   * Returns the usage of budgets that changed or were last sent too long ago. `reachableShare` is the share of the hubs
   * that this hub reaches; it grants only that share of the slack.
   */
  public takeChanges(
    now: number,
    reachableShare: number,
  ): { service: string; usedPermille: number }[] {
    return [...this.services].flatMap(([service, budget]) => {
      const usedPermille = Math.round(budget.window.usedFraction(now, reachableShare) * PERMILLE);
      const isSteady = Math.abs(usedPermille - budget.sentPermille) < MIN_CHANGE_PERMILLE;
      if (isSteady && now - budget.sentAt < RESEND_MS) return [];
      Object.assign(budget, { sentPermille: usedPermille, sentAt: now });
      retryBudgetUsed.set({ service }, usedPermille / PERMILLE);
      return [{ service, usedPermille }];
    });
  }
}
