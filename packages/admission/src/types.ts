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

/** Queue in front of one service: fair over teams, with deadlines. */
export interface IFairQueue<T extends Permit> {
  /**
   * Waits until `tryAcquire` of the queue's source gives a permit.
   * @param deadlineAt monotonic ms
   */
  acquire(req: {
    readonly team: string;
    readonly deadlineAt: number;
    readonly isIdempotent: boolean;
    readonly signal?: AbortSignal;
  }): Promise<AdmissionOutcome<T>>;
  /** Capacity may have appeared: serves waiting requests. */
  wake(): void;
  readonly waiting: number;
  dispose(): void;
}
