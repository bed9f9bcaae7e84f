/** Public types of fleet-wide budgets. */
import type { RankedVm } from '@marigoldbank/base/rendezvous';

/** Limit of a team over the whole fleet. */
export interface TeamLimit {
  /** Requests per second. */
  readonly rate: number;
  /** Requests. Only whole tokens count: a burst below 1 admits nothing. */
  readonly burst: number;
}

/** Finds the limit of a team, or nothing for an unknown team. */
export type LimitLookup = (team: string) => TeamLimit | undefined;

/** View of the fleet that decides who holds which budget. */
export interface BudgetView {
  readonly epoch: number;
  readonly entries: readonly RankedVm[];
}

/** What became of a loan so far. The counts only grow, so that a repeated report changes nothing. */
export interface LoanReport {
  readonly team: string;
  readonly loan: string;
  readonly used: number;
  readonly returned: number;
}

export interface BorrowRequest {
  readonly from: string;
  readonly viewEpoch: number;
  readonly items: readonly {
    readonly team: string;
    readonly wanted: number;
    /** Part of `wanted` that requests are waiting for; the rest is expected demand. Default: all. */
    readonly urgent?: number;
  }[];
  /**
   * Loans of the addressed lender. Without the reports a lender counts every loan until its lifetime ends, which
   * limits a team to its burst per lifetime.
   */
  readonly reports?: readonly LoanReport[];
}

export interface BorrowResponse {
  readonly items: readonly {
    readonly team: string;
    readonly granted: number;
    readonly retryAfterMs: number;
    /** Names the loan in reports; unique over restarts of the lender. */
    readonly loan?: string;
  }[];
}

/** Sends loan requests to other entries. A rejected promise means that no answer came. */
export abstract class BudgetTransport {
  public abstract borrow(to: string, req: BorrowRequest): Promise<BorrowResponse>;
}

/** One reserved token. */
export interface Reservation {
  /** Uses the token. False if it has expired or was used or released: the request must not be dispatched with it. */
  consume(): boolean;
  /** Gives an unused token back to this entry's pool; it keeps its expiry. */
  release(): void;
}

export type ReserveOutcome =
  | { readonly kind: 'reserved'; readonly reservation: Reservation; readonly remaining: number }
  | { readonly kind: 'overLimit'; readonly retryAfterMs: number }
  | { readonly kind: 'unknownTeam' };

/** Fleet-wide rate and burst of each team, as one entry sees it. */
export interface IFleetBudgets {
  /**
   * Adopts a view. Call it before the entry's currency is renewed under the new view: an entry that is not current at
   * this moment may have missed acceptances and counts as a new holder of all its buckets.
   */
  setView(view: BudgetView): void;
  /** The view of this epoch was accepted by the fleet at the latest at `at` (monotonic ms). */
  markViewAccepted(epoch: number, at: number): void;
  /** Adopts limits. Without limits every team is unknown. */
  setLimits(limits: LimitLookup): void;
  /** The limits set last were accepted by the fleet at the latest at `at` (monotonic ms). */
  markLimitsAccepted(at: number): void;
  /** Resolves at once from local tokens, otherwise within `deadlineMs` of waiting for a loan. */
  reserve(team: string, deadlineMs: number): Promise<ReserveOutcome>;
  handleBorrow(req: BorrowRequest): BorrowResponse;
  dispose(): void;
}
