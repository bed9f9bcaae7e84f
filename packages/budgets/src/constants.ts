/** Durations and factors of the lending protocol. */

/** Waits that the bound on rate and burst rests on. */
export interface BudgetTiming {
  /** Lifetime of a loan, counted by the borrower from the sending of its request. */
  readonly loanLifetimeMs: number;
  /** Time for which a lender counts a loan as usable elsewhere. */
  readonly lenderLifetimeMs: number;
  /** Time after a start until nothing that an earlier run lent is usable. */
  readonly restartWaitMs: number;
  /** Time after the acceptance of a view or of limits until nothing lent under an older one is usable. */
  readonly acceptanceWaitMs: number;
}

/** Lifetime of a loan at the borrower. */
export const LOAN_LIFETIME_MS = 1_000;

/** Time after its last confirmation for which an entry counts as current (T on the design page). */
export const CURRENCY_MS = 2_000;

/** A lender counts longer than a borrower, since the clocks of two VMs may run apart by up to 1%. */
export const DRIFT_FACTOR = 1.01;

export const DEFAULT_TIMING: BudgetTiming = {
  loanLifetimeMs: LOAN_LIFETIME_MS,
  lenderLifetimeMs: LOAN_LIFETIME_MS * DRIFT_FACTOR,
  restartWaitMs: LOAN_LIFETIME_MS * DRIFT_FACTOR,
  acceptanceWaitMs: (CURRENCY_MS + LOAN_LIFETIME_MS) * DRIFT_FACTOR,
};

/** A holder that has not answered for this long is asked no more until it answers a probe. */
export const BORROW_TIMEOUT_MS = 100;

/** Period of the probes to a holder that did not answer. */
export const PROBE_INTERVAL_MS = 500;

/** Used and returned tokens are reported at the latest after this time, so that lenders regain capacity. */
export const SETTLE_DELAY_MS = 50;

/** Unused tokens above the expected demand go back to the lender when a loan is this old. */
export const RETURN_AGE_MS = 300;

/** An entry borrows ahead what it expects to need in this time. */
export const PREFETCH_MS = 100;

/** Time constant of the demand estimate. */
export const DEMAND_WINDOW_MS = 500;

/** After a refusal by all holders, further requests are refused without asking for at most this time. */
export const MAX_REFUSAL_CACHE_MS = 20;

/** Hint to callers when nothing better is known. */
export const DEFAULT_RETRY_AFTER_MS = 100;

/** Upper end of the hint to callers. */
export const MAX_RETRY_AFTER_MS = 60_000;

/** State of a team that was not used for this long is dropped when it holds nothing. */
export const IDLE_MS = 10_000;

/** Period of the check for idle teams. */
export const SWEEP_INTERVAL_MS = 1_000;

/** A lender gives at most this fraction of its spare tokens to demand that is only expected. */
export const MAX_PREFETCH_FRACTION = 0.25;
