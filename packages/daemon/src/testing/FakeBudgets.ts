/** Budget of one entry without a fleet, for tests. */
import type {
  BorrowResponse,
  IFleetBudgets,
  Reservation,
  ReserveOutcome,
} from '@marigoldbank/budgets';

/** Counts tokens; all reservations can be made to expire. */
export class FakeBudgets implements IFleetBudgets {
  public available = Infinity;

  public consumed = 0;

  public released = 0;

  public reserved = 0;

  /** Number of coming `consume` calls that fail as expired. */
  public expiredConsumes = 0;

  public setView(): void {
    // One entry holds everything.
  }

  public markViewAccepted(): void {
    // One entry holds everything.
  }

  public setLimits(): void {
    // Tokens are set directly.
  }

  public markLimitsAccepted(): void {
    // Tokens are set directly.
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
    // Nothing is held.
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
