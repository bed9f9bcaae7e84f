/** Durations and factors of the lending protocol. */

/** Durations on which the fleet-wide bound on rate and burst depends. */
export interface BudgetTiming {
  /** Lifetime of a loan, which the borrower counts from the time at which it sent the request. */
  readonly loanLifetimeMs: number;
  /** Time for which a lender counts the tokens of a loan as usable by the borrower. */
  readonly lenderLifetimeMs: number;
  /** Time after a restart until no token lent by the previous process is usable. */
  readonly restartWaitMs: number;
  /** Time after the acceptance of a view or of limits until no token lent under older ones is usable. */
  readonly acceptanceWaitMs: number;
}

/** Lifetime of a loan at the borrower. */
export const LOAN_LIFETIME_MS = 1_000;

/** Time after its last confirmation for which an entry counts as current (T on the design page). */
export const FRESHNESS_MS = 2_000;

/** A lender counts a loan for longer than the borrower, since the clock rates of two VMs may differ by up to 1%. */
export const DRIFT_FACTOR = 1.01;

export const DEFAULT_TIMING: BudgetTiming = {
  loanLifetimeMs: LOAN_LIFETIME_MS,
  lenderLifetimeMs: LOAN_LIFETIME_MS * DRIFT_FACTOR,
  restartWaitMs: LOAN_LIFETIME_MS * DRIFT_FACTOR,
  acceptanceWaitMs: (FRESHNESS_MS + LOAN_LIFETIME_MS) * DRIFT_FACTOR,
};

/** A holder that does not answer a message within this time gets no further loan requests until it answers one. */
export const BORROW_TIMEOUT_MS = 100;

/** Period of the probes to a holder that did not answer. */
export const PROBE_INTERVAL_MS = 500;

/** Longest delay before used and returned tokens are reported, so that lenders regain capacity. */
export const REPORT_DELAY_MS = 50;

/** Age of a loan at which unused tokens above the expected demand are returned to the lender. */
export const RETURN_AGE_MS = 300;

/** An entry borrows in advance as many tokens as it expects to need within this time. */
export const PREFETCH_MS = 100;

/** Time constant of the demand estimate. */
export const DEMAND_WINDOW_MS = 500;

/** Longest time after refusals by all holders that answered in which none of them is asked again for the team. */
export const MAX_REFUSAL_CACHE_MS = 20;

/** Retry delay given to callers if none can be computed. */
export const DEFAULT_RETRY_AFTER_MS = 100;

/** Longest retry delay given to callers. */
export const MAX_RETRY_AFTER_MS = 60_000;

/** Idle time after which a team's borrowing state is dropped if it has no loans, and its bucket if that is full. */
export const IDLE_MS = 10_000;

/** Interval between checks for idle teams. */
export const SWEEP_INTERVAL_MS = 1_000;

/** Largest fraction of a lender's spare tokens that it lends for expected demand, for which no request waits yet. */
export const MAX_PREFETCH_FRACTION = 0.25;
