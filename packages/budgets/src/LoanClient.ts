/** Sends loan requests to holders, batched per holder and with a timeout, and tracks which holders do not answer. */
import type { Clock } from '@marigoldbank/base/clock';
import type { IDisposable } from '@marigoldbank/base/lifecycle';
import {
  BORROW_TIMEOUT_MS,
  DEFAULT_RETRY_AFTER_MS,
  PROBE_INTERVAL_MS,
  REPORT_DELAY_MS,
} from './constants.js';
import { BorrowedLoan } from './BorrowedLoan.js';
import type { BorrowRequest, BorrowResponse, BudgetTransport } from './types.js';

/** A holder's answer to a loan request. */
export interface LoanAnswer {
  readonly granted: number;
  readonly retryAfterMs: number;
}

interface PendingItem {
  readonly team: string;
  readonly wanted: number;
  readonly urgent: number;
  readonly resolve: (answer: LoanAnswer | undefined) => void;
}

interface Lender {
  readonly vm: string;
  pending: PendingItem[];
  /** Loans with used or returned tokens that have not been reported yet. */
  readonly unreported: Set<BorrowedLoan>;
  isFlushScheduled: boolean;
  isReportScheduled: boolean;
  /** Set while the lender does not answer. It gets loan requests again once any answer has arrived. */
  isUnresponsive: boolean;
  probeAt: number;
}

export interface LoanClientOptions {
  readonly self: string;
  readonly clock: Clock;
  readonly transport: BudgetTransport;
  readonly loanLifetimeMs: number;
  readonly epoch: () => number;
  /** Called for every loan, including one that arrives after its request has timed out. */
  readonly onLoan: (loan: BorrowedLoan) => void;
}

export class LoanClient implements IDisposable {
  private readonly lenders = new Map<string, Lender>();

  private readonly timers = new Set<IDisposable>();

  private isDisposed = false;

  public constructor(private readonly options: LoanClientOptions) {}

  /** Returns false while the lender does not answer, and then sends a probe if one is due. */
  public isAvailable(vm: string): boolean {
    const lender = this.lenders.get(vm);
    if (lender === undefined || !lender.isUnresponsive) return true;
    const now = this.options.clock.now();
    if (now >= lender.probeAt) {
      lender.probeAt = now + PROBE_INTERVAL_MS;
      this.send(lender, []);
    }
    return false;
  }

  /**
   * Requests tokens; resolves with undefined if no answer arrives in time. Requests made before the next microtask are
   * sent in one message.
   */
  public request(
    vm: string,
    team: string,
    wanted: number,
    urgent: number,
  ): Promise<LoanAnswer | undefined> {
    const lender = this.lenderFor(vm);
    return new Promise((resolve) => {
      lender.pending.push({ team, wanted, urgent, resolve });
      if (lender.isFlushScheduled) return;
      lender.isFlushScheduled = true;
      queueMicrotask(() => {
        lender.isFlushScheduled = false;
        const items = lender.pending;
        lender.pending = [];
        this.send(lender, items);
      });
    });
  }

  /** Schedules a report about used or returned tokens of a loan; it is sent within `REPORT_DELAY_MS`. */
  public report(loan: BorrowedLoan): void {
    if (loan.data.id === '') return;
    const lender = this.lenderFor(loan.data.lender);
    lender.unreported.add(loan);
    if (lender.isReportScheduled) return;
    lender.isReportScheduled = true;
    this.schedule(() => {
      lender.isReportScheduled = false;
      if (lender.unreported.size > 0) this.send(lender, []);
    }, REPORT_DELAY_MS);
  }

  /** Calls `fn` after `delayMs` unless the client or the returned handle is disposed of before. */
  public schedule(fn: () => void, delayMs: number): IDisposable {
    const timer = this.options.clock.setTimeout(() => {
      this.timers.delete(timer);
      if (!this.isDisposed) fn();
    }, delayMs);
    this.timers.add(timer);
    return {
      dispose: () => {
        this.timers.delete(timer);
        timer.dispose();
      },
    };
  }

  /** Drops the state of lenders that are no longer entries of the view. */
  public retainLenders(vms: ReadonlySet<string>): void {
    [...this.lenders.keys()].filter((vm) => !vms.has(vm)).forEach((vm) => this.lenders.delete(vm));
  }

  public dispose(): void {
    this.isDisposed = true;
    this.timers.forEach((timer) => timer.dispose());
    this.timers.clear();
    [...this.lenders.values()]
      .flatMap((lender) => lender.pending)
      .forEach((item) => item.resolve(undefined));
  }

  private lenderFor(vm: string): Lender {
    const known = this.lenders.get(vm);
    if (known !== undefined) return known;
    const lender: Lender = {
      vm,
      pending: [],
      unreported: new Set(),
      isFlushScheduled: false,
      isReportScheduled: false,
      isUnresponsive: false,
      probeAt: 0,
    };
    this.lenders.set(vm, lender);
    return lender;
  }

  /** Sends the items with the pending reports. A message without items is a probe or carries only reports. */
  private send(lender: Lender, items: readonly PendingItem[]): void {
    if (this.isDisposed) {
      items.forEach((item) => item.resolve(undefined));
      return;
    }
    const { clock, transport } = this.options;
    const sentAt = clock.now();
    let isAnswered = false;
    const fail = (): void => {
      if (isAnswered) return;
      isAnswered = true;
      Object.assign(lender, { isUnresponsive: true, probeAt: clock.now() + PROBE_INTERVAL_MS });
      items.forEach((item) => item.resolve(undefined));
    };
    const timeout = this.schedule(fail, BORROW_TIMEOUT_MS);
    const accept = (res: BorrowResponse): void => {
      isAnswered = true;
      timeout.dispose();
      Object.assign(lender, { isUnresponsive: false });
      this.accept(lender, items, res, sentAt);
    };
    transport
      .borrow(lender.vm, this.buildRequest(lender, items))
      .then(accept)
      .catch(() => {
        timeout.dispose();
        fail();
      });
  }

  private buildRequest(lender: Lender, items: readonly PendingItem[]): BorrowRequest {
    const reports = [...lender.unreported].map((loan) => ({
      team: loan.data.team,
      loan: loan.data.id,
      used: loan.used,
      returned: loan.returned,
    }));
    lender.unreported.clear();
    return {
      from: this.options.self,
      viewEpoch: this.options.epoch(),
      items: items.map(({ team, wanted, urgent }) => ({ team, wanted, urgent })),
      reports,
    };
  }

  private accept(
    lender: Lender,
    items: readonly PendingItem[],
    res: BorrowResponse,
    sentAt: number,
  ): void {
    items.forEach((item) => {
      const answer = res.items.find(({ team }) => team === item.team);
      const granted = Math.min(answer?.granted ?? 0, item.wanted);
      if (granted > 0) {
        const loanId = answer?.loan ?? '';
        const expiresAt = sentAt + this.options.loanLifetimeMs;
        this.options.onLoan(
          new BorrowedLoan({
            team: item.team,
            lender: lender.vm,
            id: loanId,
            expiresAt,
            count: granted,
          }),
        );
      }
      item.resolve({ granted, retryAfterMs: answer?.retryAfterMs ?? DEFAULT_RETRY_AFTER_MS });
    });
  }
}
