/** Public types of fleet-wide budgets. */
import type { RankedVm } from '@marigoldbank/base/rendezvous';

/** Limit of a team over the whole fleet. */
export interface TeamLimit {
  /** Requests per second. */
  readonly rate: number;
  /** Requests. Only whole tokens count: a burst below 1 admits nothing. */
  readonly burst: number;
}

/** Returns the limit of a team, or undefined for an unknown team. */
export type LimitLookup = (team: string) => TeamLimit | undefined;

/** View of the fleet that decides which entries hold the buckets of a team. */
export interface BudgetView {
  readonly epoch: number;
  readonly entries: readonly RankedVm[];
}

/** Tokens of a loan used and returned so far. The counts only grow, so that a repeated report has no effect. */
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
    /** Part of `wanted` for which requests are waiting; the rest is for expected demand. Default: all. */
    readonly urgent?: number;
  }[];
  /**
   * Reports about loans of the addressed lender. Without them a lender counts every loan as outstanding until its
   * lifetime ends, which limits a team to its burst per lifetime.
   */
  readonly reports?: readonly LoanReport[];
}

export interface BorrowResponse {
  readonly items: readonly {
    readonly team: string;
    readonly granted: number;
    readonly retryAfterMs: number;
    /** Id of the loan in reports; unique across restarts of the lender. */
    readonly loan?: string;
  }[];
}

/** Sends loan requests to other entries. The promise is rejected if no answer arrives. */
export abstract class BudgetTransport {
  public abstract borrow(to: string, req: BorrowRequest): Promise<BorrowResponse>;
}

/** One reserved token. */
export interface Reservation {
  /** Uses the token. Returns false if it is expired, used or released: the request must not be dispatched with it. */
  consume(): boolean;
  /** Returns an unused token to the loan or bucket that it came from. A token of a loan keeps its expiry time. */
  release(): void;
}

export type ReserveOutcome =
  | { readonly kind: 'reserved'; readonly reservation: Reservation; readonly remaining: number }
  | { readonly kind: 'overLimit'; readonly retryAfterMs: number }
  | { readonly kind: 'unknownTeam' };

/** Enforces the fleet-wide rate and burst of each team at one entry. */
export interface IFleetBudgets {
  /**
   * Adopts a view. Call it before a confirmation of the new view makes the entry current again: an entry that is not
   * current at the time of the call may have missed accepted views and counts as a new holder of all its buckets.
   */
  setView(view: BudgetView): void;
  /** Reports that the fleet had accepted the view of this epoch by `at` (monotonic time in ms). */
  markViewAccepted(epoch: number, at: number): void;
  /** Adopts limits. Without limits every team is unknown. */
  setLimits(limits: LimitLookup): void;
  /** Reports that the fleet had accepted the limits set last by `at` (monotonic time in ms). */
  markLimitsAccepted(at: number): void;
  /** Reserves a token: at once if one is available locally, otherwise waits up to `deadlineMs` for a loan. */
  reserve(team: string, deadlineMs: number): Promise<ReserveOutcome>;
  handleBorrow(req: BorrowRequest): BorrowResponse;
  dispose(): void;
}
