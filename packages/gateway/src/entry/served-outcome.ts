/** Whether a request was served, for the shares by service. */
import type { ServedOutcome } from '@marigoldbank/routing/ServedShares';
import type { RunOutcome } from './run-types.js';

const FIRST_ERROR_STATUS = 500;

export function servedOutcomeOf(
  outcome: Exclude<RunOutcome, { kind: 'callerGone' }>,
): ServedOutcome {
  if (outcome.kind === 'answered') {
    return outcome.response.status < FIRST_ERROR_STATUS ? 'served' : 'failed';
  }
  return outcome.error.verdict === 'notRun' ? 'refused' : 'failed';
}
