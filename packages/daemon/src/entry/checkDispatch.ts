/** Final check before a request is sent to an upstream. */
import type { Reservation } from '@marigoldbank/budgets';
import type { ITargetPool, TargetLease } from '@marigoldbank/ejection';
import type { ConfigSection } from '../Blackboard.js';
import { isApiKeyActive } from './keys.js';
import type { Refusal } from './refusals.js';
import type { AdmittedRequest, EntryContext } from './types.js';
import type { DispatchCheckFailure } from './UpstreamExchange.js';

function refused(refusal: Refusal): DispatchCheckFailure {
  return { kind: 'refused', refusal };
}

/** Checks the route, API key and plan of a request again, against the configuration adopted now. */
function findConfigFault(req: AdmittedRequest, section: ConfigSection): Refusal | undefined {
  const match = section.lists.matchRoute(req.method, req.path);
  if (match.kind !== 'matched' || match.route.service !== req.route.service) {
    return { kind: 'notFound', verdict: 'notRun' };
  }
  if (req.key === undefined) {
    return match.route.open ? undefined : { kind: 'unauthenticated', verdict: 'notRun' };
  }
  if (!isApiKeyActive(req.key, section)) return { kind: 'unauthenticated', verdict: 'notRun' };
  if (!section.lists.isRouteAllowed(req.key.team, match.route.id)) {
    return { kind: 'forbidden', verdict: 'notRun' };
  }
  return undefined;
}

/**
 * Runs synchronously in the event loop turn that sends the request. This keeps a request from being sent on outdated
 * state after the process was frozen, or after its key was revoked while it waited. The token is consumed last, since
 * that cannot be undone.
 */
export function checkDispatch(
  ctx: EntryContext,
  pool: ITargetPool,
  req: AdmittedRequest,
  lease: TargetLease,
  reservation: Reservation | undefined,
): DispatchCheckFailure | undefined {
  const now = ctx.clock.now();
  const section = ctx.blackboard.config.value;
  if (req.signal.aborted) return refused({ kind: 'callerGone', verdict: 'notRun' });
  if (now >= req.deadlineAt) return refused({ kind: 'deadlineBeforeDispatch', verdict: 'notRun' });
  if (section === undefined) return refused({ kind: 'notReady', verdict: 'notRun' });
  if (req.key !== undefined && now >= ctx.blackboard.freshness.value.currentUntil) {
    return refused({ kind: 'notCurrent', verdict: 'notRun' });
  }
  const fault = findConfigFault(req, section);
  if (fault !== undefined) return refused(fault);
  if (pool.isQuarantined(req.fingerprint)) {
    return refused({ kind: 'quarantined', verdict: 'notRun' });
  }
  if (req.claim !== undefined && !req.claim.mayDispatch()) {
    return refused({ kind: 'claimExpired', verdict: 'notRun' });
  }
  if (!lease.mayDispatch()) return { kind: 'leaseEnded' };
  if (reservation !== undefined && !reservation.consume()) return { kind: 'tokenExpired' };
  return undefined;
}
