/** Counts requests that the rates of cold targets held back. */
import type { TargetLimits } from '@marigoldbank/routing/TargetLimits';
import { coldHeldBackTotal } from '../metrics.js';

/** Counts one request if a cold target would have got it. `isSent` says whether another target gets it. */
export function countHeldBack(limits: TargetLimits, service: string, isSent: boolean): void {
  if (limits.takeHeldBack() === 0) return;
  coldHeldBackTotal.inc({ service, outcome: isSent ? 'sent elsewhere' : 'refused' });
}
