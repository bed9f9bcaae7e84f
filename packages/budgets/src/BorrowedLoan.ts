/** A loan of tokens at the borrower, with the state of its tokens. */

export interface LoanData {
  readonly team: string;
  readonly lender: string;
  /** Id of the loan in reports; empty if the lender gave none. */
  readonly id: string;
  /** Monotonic time in ms. A token is valid before this time. */
  readonly expiresAt: number;
  readonly count: number;
}

export class BorrowedLoan {
  private freeCount: number;

  private usedCount = 0;

  private returnedCount = 0;

  public constructor(public readonly data: LoanData) {
    this.freeCount = data.count;
  }

  /** Tokens neither reserved, used nor returned. */
  public get free(): number {
    return this.freeCount;
  }

  public get used(): number {
    return this.usedCount;
  }

  public get returned(): number {
    return this.returnedCount;
  }

  /** Reserves a free token. */
  public reserve(): void {
    this.freeCount -= 1;
  }

  /** Marks a reserved token as used. */
  public markUsed(): void {
    this.usedCount += 1;
  }

  /** Makes a reserved token free again. */
  public unreserve(): void {
    this.freeCount += 1;
  }

  /** Gives free tokens back to the lender. */
  public giveBack(count: number): void {
    this.freeCount -= count;
    this.returnedCount += count;
  }
}
