/** Tokens that this entry has borrowed for one team. */

import type { BorrowedLoan } from './BorrowedLoan.js';

export class BorrowedTokens {
  private loans: BorrowedLoan[] = [];

  public get isEmpty(): boolean {
    return this.loans.length === 0;
  }

  public add(loan: BorrowedLoan): void {
    if (!this.loans.includes(loan)) this.loans.push(loan);
  }

  /** Reserves a token of the oldest valid loan. */
  public take(now: number): BorrowedLoan | undefined {
    this.dropUnusable(now);
    const loan = this.loans[0];
    loan?.reserve();
    return loan;
  }

  /** Free tokens that stay valid for at least `durationMs`. */
  public countFree(now: number, durationMs = 0): number {
    this.dropUnusable(now);
    return this.loans
      .filter((loan) => loan.data.expiresAt > now + durationMs)
      .reduce((sum, loan) => sum + loan.free, 0);
  }

  private dropUnusable(now: number): void {
    const first = this.loans[0];
    if (first === undefined || (first.free > 0 && first.data.expiresAt > now)) return;
    this.loans = this.loans.filter((loan) => loan.free > 0 && loan.data.expiresAt > now);
  }
}
