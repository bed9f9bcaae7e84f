/** Fake budgets of a single entry, for tests. */
import type {
  BorrowResponse,
  IFleetBudgets,
  Reservation,
  ReserveOutcome,
} from '@marigoldbank/budgets';

/** Counts tokens, and can let reservations expire. */
export class FakeBudgets implements IFleetBudgets {
  public available = Infinity;

  public consumed = 0;

  public released = 0;

  public reserved = 0;

  /** Number of next `consume` calls that fail as if the reservation had expired. */
  public expiredConsumes = 0;

  public setView(): void {
    // The budgets do not depend on the view.
  }

  public markViewAccepted(): void {
    // The budgets do not depend on the view.
  }

  public setLimits(): void {
    // Tests set the tokens directly.
  }

  public markLimitsAccepted(): void {
    // Tests set the tokens directly.
  }

  public reserve(): Promise<ReserveOutcome> {
    if (this.available <= 0) return Promise.resolve({ kind: 'overLimit', retryAfterMs: 1_500 });
    this.available -= 1;
    this.reserved += 1;
    const reservation = this.createReservation();
    return Promise.resolve({ kind: 'reserved', reservation, remaining: this.available });
  }

  public handleBorrow(): BorrowResponse {
    return { items: [] };
  }

  public dispose(): void {
    // No timers or listeners.
  }

  private createReservation(): Reservation {
    let isUsed = false;
    return {
      consume: () => {
        if (this.expiredConsumes > 0) {
          this.expiredConsumes -= 1;
          isUsed = true;
        }
        if (isUsed) return false;
        isUsed = true;
        this.consumed += 1;
        return true;
      },
      release: () => {
        if (isUsed) return;
        isUsed = true;
        this.available += 1;
        this.released += 1;
      },
    };
  }
}
