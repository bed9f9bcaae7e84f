/** Common base of the baseline limiters. */
import type { Clock } from '@marigoldbank/base/clock';
import type {
  BorrowRequest,
  BorrowResponse,
  BudgetView,
  IFleetBudgets,
  LimitLookup,
  Reservation,
  ReserveOutcome,
} from '../types.js';
import { PlainBucket } from './PlainBucket.js';

/** Creates a reservation whose token never expires and is not returned when it is released. */
export function createUnconditionalReservation(): Reservation {
  let isPending = true;
  return {
    consume: () => {
      const wasPending = isPending;
      isPending = false;
      return wasPending;
    },
    release: () => {
      isPending = false;
    },
  };
}

export abstract class BaselineBudgets implements IFleetBudgets {
  private readonly buckets = new Map<string, PlainBucket>();

  protected view: BudgetView = { epoch: 0, entries: [] };

  protected limits: LimitLookup = () => undefined;

  public constructor(
    protected readonly self: string,
    private readonly clock: Clock,
  ) {}

  public setView(view: BudgetView): void {
    this.view = view;
    this.buckets.clear();
  }

  public setLimits(limits: LimitLookup): void {
    this.limits = limits;
    this.buckets.clear();
  }

  public markViewAccepted(): void {
    // The baseline limiters switch views and limits at once.
  }

  public markLimitsAccepted(): void {
    // See markViewAccepted.
  }

  public abstract reserve(team: string, deadlineMs: number): Promise<ReserveOutcome>;

  public abstract handleBorrow(req: BorrowRequest): BorrowResponse;

  public dispose(): void {
    this.buckets.clear();
  }

  /** Returns the bucket of a team, created with the given fraction of its limit. */
  protected bucketOf(team: string, fraction: number): PlainBucket | undefined {
    const limit = this.limits(team);
    if (limit === undefined) return undefined;
    const known = this.buckets.get(team);
    if (known !== undefined) return known;
    const part = { rate: limit.rate * fraction, burst: limit.burst * fraction };
    const bucket = new PlainBucket(part, this.clock);
    this.buckets.set(team, bucket);
    return bucket;
  }
}
