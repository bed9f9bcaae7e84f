/** Permission to send a request to a further target, within the budget that all entries share. */
import { RetryWindow, type RetryBudgetLimits } from './RetryWindow.js';

/** Repeats stop here, since repeats of the last moments are not yet counted. */
const URGENT_LIMIT = 0.8;

/** Requests that are less urgent leave the rest of the budget to the others. */
const OTHER_LIMIT = 0.65;

/** A count of the fleet that is older is not used. */
const MAX_COUNT_AGE_MS = 1_500;

interface FleetCount {
  readonly used: number;
  readonly receivedAt: number;
}

export class RetryLimiter {
  private readonly fleet = new Map<string, FleetCount>();

  private readonly own = new Map<string, RetryWindow>();

  public constructor(private readonly bounds: RetryBudgetLimits) {}

  /** Learns the used part of a service's budget over the whole fleet. */
  public setFleetUse(service: string, used: number, now: number): void {
    this.fleet.set(service, { used, receivedAt: now });
  }

  /** Counts a request or a repeat of this entry. */
  public count(service: string, requests: number, repeats: number, now: number): void {
    this.windowOf(service).add(requests, repeats, now);
  }

  /** Whether a request may be sent once more. */
  public mayRepeat(
    service: string,
    isUrgent: boolean,
    entries: number,
    isConnected: boolean,
    now: number,
  ): boolean {
    const limit = isUrgent ? URGENT_LIMIT : OTHER_LIMIT;
    const count = this.fleet.get(service);
    const isCurrent =
      isConnected && (count === undefined || now - count.receivedAt < MAX_COUNT_AGE_MS);
    if (isCurrent) return (count?.used ?? 0) < limit;
    return this.windowOf(service).usedFraction(now, 1 / Math.max(1, entries)) < limit;
  }

  private windowOf(service: string): RetryWindow {
    const known = this.own.get(service);
    if (known !== undefined) return known;
    const created = new RetryWindow(this.bounds);
    this.own.set(service, created);
    return created;
  }
}
