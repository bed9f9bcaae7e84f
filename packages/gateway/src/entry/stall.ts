/** When an attempt takes so much longer than expected that a second target may be tried. */
import type { Clock } from '@marigoldbank/base/clock';
import type { IDisposable } from '@marigoldbank/base/lifecycle';
import type { SendAttempt } from './SendAttempt.js';

/** A hedged request is sent to a second target when the first takes this multiple of the expected duration. */
const HEDGE_AFTER_DURATIONS = 2.2;

/** Minimum delay of a hedged request as a fraction of the latency objective. */
const HEDGE_MIN_OBJECTIVE_FRACTION = 0.3;

/** Calls `onStall` once, when the attempt has taken much longer than expected. */
export function watchForStall(
  clock: Clock,
  attempt: SendAttempt,
  { expectedMs, objectiveMs }: { readonly expectedMs: number; readonly objectiveMs: number },
  onStall: () => void,
): IDisposable {
  const afterMs = Math.max(
    HEDGE_AFTER_DURATIONS * expectedMs,
    HEDGE_MIN_OBJECTIVE_FRACTION * objectiveMs,
  );
  return clock.setTimeout(onStall, Math.max(0, afterMs - attempt.elapsedMs));
}
