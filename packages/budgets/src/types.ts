/** Public types of fleet-wide budgets. */
import type { RankedVm } from '@marigoldbank/base/rendezvous';

/** Limit of a team over the whole fleet. */
export interface TeamLimit {
  /** Requests per second. */
  readonly rate: number;
  /** Requests. */
  readonly burst: number;
}

/** View of the fleet that decides who holds which budget. */
export interface BudgetView {
  readonly epoch: number;
  readonly entries: readonly RankedVm[];
}

export interface BorrowRequest {
  readonly from: string;
  readonly viewEpoch: number;
  readonly items: readonly { readonly team: string; readonly wanted: number }[];
}

export interface BorrowResponse {
  readonly items: readonly {
    readonly team: string;
    readonly granted: number;
    readonly retryAfterMs: number;
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
  /** Adopts a view and limits. `acceptedAt` is set once the view is known to be accepted (monotonic ms). */
  setView(view: BudgetView): void;
  /** The current view was accepted by the fleet at the latest at `at` (monotonic ms). */
  markViewAccepted(epoch: number, at: number): void;
  /** Resolves at once from local tokens, otherwise within `deadlineMs` of waiting for a loan. */
  reserve(team: string, deadlineMs: number): Promise<ReserveOutcome>;
  handleBorrow(req: BorrowRequest): BorrowResponse;
  dispose(): void;
}
