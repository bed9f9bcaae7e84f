/** What the naive limiters have in common. */
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

/** A token that never expires and cannot be given back, as a naive limiter has it. */
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

export abstract class NaiveBudgets implements IFleetBudgets {
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
    // The naive limiters know no transition between views.
  }

  public markLimitsAccepted(): void {
    // As above.
  }

  public abstract reserve(team: string, deadlineMs: number): Promise<ReserveOutcome>;

  public abstract handleBorrow(req: BorrowRequest): BorrowResponse;

  public dispose(): void {
    this.buckets.clear();
  }

  /** The bucket of a team with a part of its limit. */
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
