/** The last check before a request is sent. */
import type { Reservation } from '@marigoldbank/budgets';
import type { ITargetPool, TargetLease } from '@marigoldbank/ejection';
import type { ConfigSection } from '../Blackboard.js';
import { isKeyInForce } from './keys.js';
import type { Refusal } from './refusals.js';
import type { AdmittedRequest, EntryContext } from './types.js';
import type { GateFailure } from './UpstreamExchange.js';

function refused(refusal: Refusal): GateFailure {
  return { kind: 'refused', refusal };
}

/** Checks the route, key and plan of a waiting request against the configuration in force now. */
function findConfigFault(req: AdmittedRequest, section: ConfigSection): Refusal | undefined {
  const match = section.lists.matchRoute(req.method, req.path);
  if (match.kind !== 'matched' || match.route.service !== req.route.service) {
    return { kind: 'notFound', verdict: 'notRun' };
  }
  if (req.key === undefined) {
    return match.route.open ? undefined : { kind: 'unauthenticated', verdict: 'notRun' };
  }
  if (!isKeyInForce(req.key, section)) return { kind: 'unauthenticated', verdict: 'notRun' };
  if (!section.lists.mayUse(req.key.team, match.route.id)) {
    return { kind: 'forbidden', verdict: 'notRun' };
  }
  return undefined;
}

/**
 * Runs synchronously in the turn that sends the request: a process that was frozen, or a request that waited while a
 * key was revoked, does not send on stale grounds. The token comes last, since consuming it cannot be undone.
 */
export function checkDispatch(
  ctx: EntryContext,
  pool: ITargetPool,
  req: AdmittedRequest,
  lease: TargetLease,
  reservation: Reservation | undefined,
): GateFailure | undefined {
  const now = ctx.clock.now();
  const section = ctx.blackboard.config.value;
  if (req.signal.aborted) return refused({ kind: 'callerGone', verdict: 'notRun' });
  if (now >= req.deadlineAt) return refused({ kind: 'deadlineBeforeDispatch', verdict: 'notRun' });
  if (section === undefined) return refused({ kind: 'notReady', verdict: 'notRun' });
  if (req.key !== undefined && now >= ctx.blackboard.currency.value.currentUntil) {
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
