/** Requests and retries of a service, as entries report them and hubs pass them on. */

export interface ServiceUseCounts {
  /** Requests that were sent to a target. */
  readonly requests: number;
  /** Attempts after the first one of a request. */
  readonly repeats: number;
  /** Requests that callers sent on a route to the service; undefined if the reporter does not count them. */
  readonly offered?: number | undefined;
}

/** Requests that count for the retry budget of the service. */
export function earningRequests({ requests, offered }: ServiceUseCounts): number {
  return offered ?? requests;
}

/** Adds up counts. Those of a reporter that does not count offered requests stand for them by the requests it has sent. */
export function addServiceUse(a: ServiceUseCounts, b: ServiceUseCounts): ServiceUseCounts {
  const isCounted = a.offered !== undefined || b.offered !== undefined;
  return {
    requests: a.requests + b.requests,
    repeats: a.repeats + b.repeats,
    ...(isCounted ? { offered: earningRequests(a) + earningRequests(b) } : {}),
  };
}
