/** Baseline limiter with one central counter for the fleet. */
import type { Clock } from '@marigoldbank/base/clock';
import type { BorrowRequest, BorrowResponse, BudgetTransport, ReserveOutcome } from '../types.js';
import { BaselineBudgets, createUnconditionalReservation } from './BaselineBudgets.js';

/** The first entry of the view holds all buckets; every request asks it for a token. */
export class CentralCounterBudgets extends BaselineBudgets {
  public constructor(
    self: string,
    clock: Clock,
    private readonly transport: BudgetTransport,
  ) {
    super(self, clock);
  }

  public override async reserve(team: string): Promise<ReserveOutcome> {
    if (this.limits(team) === undefined) return { kind: 'unknownTeam' };
    const req: BorrowRequest = {
      from: this.self,
      viewEpoch: this.view.epoch,
      items: [{ team, wanted: 1 }],
    };
    const item = await this.requestToken(req).catch(() => undefined);
    if (item === undefined || item.granted < 1) {
      return { kind: 'overLimit', retryAfterMs: item?.retryAfterMs ?? 1_000 };
    }
    return { kind: 'reserved', reservation: createUnconditionalReservation(), remaining: 0 };
  }

  public override handleBorrow(req: BorrowRequest): BorrowResponse {
    const items = req.items.map(({ team }) => {
      const bucket = this.bucketOf(team, 1);
      const isGranted = bucket?.take() ?? false;
      const retryAfterMs = bucket?.retryAfterMs ?? 1_000;
      return { team, granted: isGranted ? 1 : 0, retryAfterMs };
    });
    return { items };
  }

  private async requestToken(
    req: BorrowRequest,
  ): Promise<BorrowResponse['items'][number] | undefined> {
    const counterVm = this.view.entries[0]?.vm;
    if (counterVm === undefined) return undefined;
    const res =
      counterVm === this.self
        ? this.handleBorrow(req)
        : await this.transport.borrow(counterVm, req);
    return res.items[0];
  }
}
