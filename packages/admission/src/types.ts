/** Public types of fair admission. */

/** A place to run one request; disposed when the request has ended. */
export interface Permit {
  dispose(): void;
}

export type AdmissionOutcome<T extends Permit> =
  | { readonly kind: 'admitted'; readonly permit: T; readonly waitedMs: number }
  /** The deadline passed while waiting. */
  | { readonly kind: 'timedOut' }
  /** The queue of the service or of the team is full. */
  | { readonly kind: 'queueFull' }
  | { readonly kind: 'cancelled' };

export interface AcquireRequest {
  readonly team: string;
  /** Monotonic ms. */
  readonly deadlineAt: number;
  readonly isIdempotent: boolean;
  readonly signal?: AbortSignal;
}

/** Queue in front of one service: fair over teams, with deadlines. */
export interface IFairQueue<T extends Permit, R extends AcquireRequest = AcquireRequest> {
  /** Waits until `tryAcquire` of the queue's source gives a permit for the request. Never rejects. */
  acquire(req: R): Promise<AdmissionOutcome<T>>;
  /** Capacity may have appeared: serves waiting requests. */
  wake(): void;
  readonly waiting: number;
  dispose(): void;
}
