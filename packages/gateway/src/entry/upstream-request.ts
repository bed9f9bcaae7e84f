/** The request that is sent to a target. */
import type { UpstreamRequest } from '@marigoldbank/daemon/entry/UpstreamClient';
import type { TargetInfo } from '@marigoldbank/routing/TargetTable';
import type { HeaderNames } from '../ProtocolAdapter.js';
import type { RunRequest } from './run-types.js';

export function toUpstreamRequest(
  { head, body, team, signal }: RunRequest,
  target: TargetInfo,
  names: HeaderNames,
  limits: Pick<UpstreamRequest, 'maxConnections' | 'deadlineAt' | 'checkDispatch'>,
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
  };
}
