/** The request that is sent to a target. */
import type { UpstreamRequest } from '@marigoldbank/daemon/entry/UpstreamClient';
import type { TargetInfo } from '@marigoldbank/routing/TargetTable';
import type { RunContext, RunRequest } from './run-types.js';

export function toUpstreamRequest(
  { names, state, clock }: Pick<RunContext, 'names' | 'state' | 'clock'>,
  { head, body, team, signal }: RunRequest,
  target: TargetInfo,
  limits: Pick<UpstreamRequest, 'maxConnections' | 'deadlineAt'>,
): UpstreamRequest {
  return {
    ...limits,
    address: target.address,
    method: head.method,
    target: head.target,
    headers: [
      ...head.headers.flat(),
      names.expectedTarget,
      target.id,
      ...(team === undefined ? [] : [names.team, team]),
    ],
    body,
    requestId: head.requestId,
    signal,
    // The request may wait for a connection until its deadline.
    checkDispatch: () =>
      state.evacuations.isEvacuated(target.dataCentre, clock.now())
        ? { kind: 'leaseEnded' }
        : undefined,
  };
}
