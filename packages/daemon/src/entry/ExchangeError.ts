/** Failures of requests to upstreams. */

/** Why an exchange ended without a complete response. */
export type FailureCause =
  /** The dispatch check failed, so nothing was sent. */
  | 'gate'
  | 'connectFailed'
  | 'shed'
  | 'timedOut'
  | 'cancelled'
  | 'connectionLost'
  | 'wrongRequestId'
  | 'brokenResponse';

/** Error that aborts an undici dispatch and carries the failure cause. */
export class ExchangeError extends Error {
  public constructor(
    public readonly reason: FailureCause,
    detail: string,
  ) {
    super(detail);
  }
}
