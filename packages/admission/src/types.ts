/** Public types of fair admission. */

/** Capacity to run one request; disposed of when the request has ended. */
export interface Permit {
  dispose(): void;
}

export type AdmissionOutcome<T extends Permit> =
  | { readonly kind: 'admitted'; readonly permit: T; readonly waitedMs: number }
  /** The deadline passed while waiting. */
  | { readonly kind: 'timedOut' }
  /** The queue of the service or of the team is full, or another team's request displaced this one. */
  | { readonly kind: 'queueFull' }
  | { readonly kind: 'cancelled' };

export interface AcquireRequest {
  readonly team: string;
  /** Monotonic time in ms. */
  readonly deadlineAt: number;
  readonly isIdempotent: boolean;
  readonly signal?: AbortSignal;
}

/** Queue in front of one service: fair over teams, with deadlines. */
export interface IFairQueue<T extends Permit, R extends AcquireRequest = AcquireRequest> {
  /** Waits until `tryAcquire` returns a permit for the request. The promise never rejects. */
  acquire(req: R): Promise<AdmissionOutcome<T>>;
  /** Serves waiting requests; call it when capacity may have become available. */
  wake(): void;
  /** Number of waiting requests. */
  readonly waiting: number;
  dispose(): void;
}
