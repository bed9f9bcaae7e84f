/** Failures of exchanges with upstreams. */

/** Why an exchange ended without a complete response. */
export type FailureCause =
  /** The check at dispatch failed: nothing was sent. */
  | 'gate'
  | 'connectFailed'
  | 'shed'
  | 'timedOut'
  | 'cancelled'
  | 'connectionLost'
  | 'wrongRequestId'
  | 'brokenResponse';

/** Ends a dispatch of undici with our own cause. */
export class ExchangeError extends Error {
  public constructor(
    public readonly reason: FailureCause,
    detail: string,
  ) {
    super(detail);
  }
}
