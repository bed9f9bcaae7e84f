/** Limits retries to the budget of a service, which all entries share. */
import { RetryWindow, type RetryBudgetLimits } from './RetryWindow.js';

/**
 * What a retry is worth: `late` ones would most likely be answered after the objective of their request, and `probe` ones follow
 * an attempt at a target that most likely fails, which was made to learn whether it still does.
 */
export type RetryValue = 'urgent' | 'usual' | 'probe' | 'late';

/**
 * Used fraction at which retries stop, so that some of the budget is left for those that are worth more. The rest covers
 * retries of entries that have lost their own counts by a restart.
 */
const MAX_USE: Readonly<Record<RetryValue, number>> = {
  urgent: 0.9,
  usual: 0.8,
  probe: 0.8,
  late: 0.5,
};

/**
 * Used fraction of its own share of the budget at which an entry stops, whatever the fleet-wide value is. That value is
 * late, but if no entry exceeds its share, the fleet does not exceed the budget.
 */
const OWN_MAX_USE = 0.95;

/** Fleet-wide values that are older than this are not used. */
const MAX_FLEET_USE_AGE_MS = 1_500;

interface FleetUse {
  readonly used: number;
  readonly receivedAt: number;
}

export class RetryLimiter {
  private readonly fleetUses = new Map<string, FleetUse>();

  private readonly ownWindows = new Map<string, RetryWindow>();

  public constructor(private readonly limits: RetryBudgetLimits) {}

  /** Whether requests that no target got count for the budget. */
  public get countsOffered(): boolean {
    return this.limits.countsOffered?.() === true;
  }

  /** Sets the fleet-wide used fraction of the budget of a service. */
  public setFleetUse(service: string, used: number, now: number): void {
    this.fleetUses.set(service, { used, receivedAt: now });
  }

  /** Counts requests and retries of this entry. */
  public count(service: string, requests: number, retries: number, now: number): void {
    this.windowOf(service).add(requests, retries, now);
  }

  /**
   * Whether a request may be sent to another target. The entry's own counts must be within its share of the budget: what
   * its own requests earn, and an even share of the slack. While it is connected to a hub, the fleet-wide value must be
   * low enough as well; it is 0 until the first one arrives. Without a connection, or if the value is too old, the entry
   * applies that limit to its own counts.
   */
  public mayRetry(
    service: string,
    value: RetryValue,
    entryCount: number,
    isConnected: boolean,
    now: number,
  ): boolean {
    const maxUse = MAX_USE[value];
    const ownUse = this.windowOf(service).usedFraction(now, 1 / Math.max(1, entryCount), 1);
    const fleetUse = this.fleetUses.get(service);
    const hasFleetUse =
      isConnected && (fleetUse === undefined || now - fleetUse.receivedAt < MAX_FLEET_USE_AGE_MS);
    if (!hasFleetUse) return ownUse <= maxUse;
    return (fleetUse?.used ?? 0) < maxUse && ownUse <= OWN_MAX_USE;
  }

  private windowOf(service: string): RetryWindow {
    const existing = this.ownWindows.get(service);
    if (existing !== undefined) return existing;
    const created = new RetryWindow(this.limits);
    this.ownWindows.set(service, created);
    return created;
  }
}
