/** Passes budget requests between simulated entries in one process. */
import { BudgetTransport, type BorrowRequest, type BorrowResponse } from '@marigoldbank/budgets';

export class LocalTransport extends BudgetTransport {
  public constructor(
    private readonly send: (to: string, req: BorrowRequest) => Promise<BorrowResponse>,
  ) {
    super();
  }

  public override borrow(to: string, req: BorrowRequest): Promise<BorrowResponse> {
    return this.send(to, req);
  }
}
