/** Tokens of one team that this entry has borrowed. */

import type { BorrowedLoan } from './BorrowedLoan.js';

export class BorrowedTokens {
  private lots: BorrowedLoan[] = [];

  public get isEmpty(): boolean {
    return this.lots.length === 0;
  }

  public add(lot: BorrowedLoan): void {
    if (!this.lots.includes(lot)) this.lots.push(lot);
  }

  /** Takes a token of the oldest valid loan. */
  public take(now: number): BorrowedLoan | undefined {
    this.dropUnusable(now);
    const lot = this.lots[0];
    lot?.take();
    return lot;
  }

  /** Free tokens that stay valid for at least `durationMs`. */
  public countFree(now: number, durationMs = 0): number {
    this.dropUnusable(now);
    return this.lots
      .filter((lot) => lot.data.expiresAt > now + durationMs)
      .reduce((sum, lot) => sum + lot.free, 0);
  }

  private dropUnusable(now: number): void {
    const first = this.lots[0];
    if (first === undefined || (first.free > 0 && first.data.expiresAt > now)) return;
    this.lots = this.lots.filter((lot) => lot.free > 0 && lot.data.expiresAt > now);
  }
}
