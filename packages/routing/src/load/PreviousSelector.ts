/** The selection as it was before paces, for the differential test. */
import type { Random } from '@marigoldbank/base/random';
import type { ChoicePolicy } from '../choice/ChoicePolicy.js';
import { LowestCost } from '../choice/LowestCost.js';
import { LowestOfSample } from '../choice/LowestOfSample.js';
import type { Selection, SelectionRequest } from '../TargetSelector.js';
import type { TargetLimits } from '../TargetLimits.js';
import type { TargetNotices } from '../TargetNotices.js';
import type { TargetTable, TargetState } from '../TargetTable.js';

/** Cost of a failure if the request must not be retried, in units of the value of its response: all of it is lost. */
const FAILURE_COST = 1;

/** Cost of a failure if the request can be retried on another target. */
const RETRIED_FAILURE_COST = 0.12;

/** Traffic between data centres is billed, at about a twentieth of the value of an average response. */
const CROSS_DATA_CENTRE_COST = 0.03;

/** Cost of a target whose slots are all in use. Some targets slow down when nearly full. */
const UTILISATION_COST = 0.05;

/** Cost of waiting for a slot for the expected duration of the request. */
const WAIT_COST = 0.3;

/** Maximum value of learning the state of a target that has been idle for a while. It is subtracted from the cost. */
const EXPLORATION_VALUE = 0.1;

/** Time without a request or an outcome after which the exploration value reaches its maximum. */
const EXPLORATION_MS = 1_500;

/** From this probability on, a target counts as failing: the value of a probe replaces the exploration value. */
const FAILING_THRESHOLD = 0.4;

/** Time without a known request or outcome, of any entry, after which a failing target gets a probe, one at a time. */
const PROBE_INTERVAL_MS = 1_200;

/** Value of a due probe of a failing target. It exceeds the cost of the failure that the probe risks. */
const PROBE_VALUE = 0.2;

/** A probe needs this many expected durations of time left, so that the request can still go to a second target. */
const PROBE_MIN_DURATIONS = 2.5;

/** A target that is still cold takes twice as long. */
const COLD_SLOWDOWN = 2;

/** Cost of a target that counts as unreachable from this entry. */
const UNREACHABLE_COST = 2;

/** A new connection costs processor time at both ends and a round trip. Small, so that it decides only among equals. */
const IDLE_CONNECTION_VALUE = 0.01;

/** Expected wait for a slot at a target, in milliseconds. */
function expectedWaitMs(target: TargetState, expectedMs: number, now: number): number {
  const { slots } = target.info;
  const inFlight = target.ownInFlight + target.othersInFlight;
  const slowdown = now < target.coldUntil ? COLD_SLOWDOWN : 1;
  return (Math.max(0, inFlight + 1 - slots) / slots) * expectedMs * slowdown;
}

/** Value of what a retryable request to this target would reveal about its state. */
function informationValue(
  target: TargetState,
  failingProbability: number,
  req: SelectionRequest,
  now: number,
): number {
  if (failingProbability < FAILING_THRESHOLD) {
    const idleMs = Math.max(0, now - Math.max(target.lastOutcomeAt, target.lastTriedAt));
    return EXPLORATION_VALUE * Math.min(1, idleMs / EXPLORATION_MS);
  }
  const isDue = now - Math.max(target.lastTriedAt, target.lastOutcomeAt) >= PROBE_INTERVAL_MS;
  const isFree = target.ownInFlight + target.othersInFlight === 0;
  const hasTime = req.remainingMs > PROBE_MIN_DURATIONS * req.expectedMs;
  return isDue && isFree && hasTime ? PROBE_VALUE : 0;
}

/** Expected cost of sending the request to a target, in units of the value of its response. */
function expectedCost(target: TargetState, req: SelectionRequest, now: number): number {
  const { info } = target;
  const failingProbability = target.belief.failingProbability(now);
  const inFlight = target.ownInFlight + target.othersInFlight;
  const slowdown = now < target.coldUntil ? COLD_SLOWDOWN : 1;
  const waitMs = expectedWaitMs(target, req.expectedMs, now);
  const dataCentreCost = info.dataCentre === req.dataCentre ? 0 : CROSS_DATA_CENTRE_COST;
  const loadCost =
    UTILISATION_COST * Math.min(1, (inFlight * slowdown) / info.slots) +
    WAIT_COST * (waitMs / req.expectedMs);
  const failureCost = failingProbability * (req.canRetry ? RETRIED_FAILURE_COST : FAILURE_COST);
  const value = req.canRetry ? informationValue(target, failingProbability, req, now) : 0;
  const unreachableCost = now < target.unreachableUntil ? UNREACHABLE_COST : 0;
  const connectionValue =
    req.hasIdleConnection?.(info.address) === true ? IDLE_CONNECTION_VALUE : 0;
  return failureCost + dataCentreCost + loadCost + unreachableCost - value - connectionValue;
}

/** Selects a target with a low expected cost. */
export class PreviousSelector {
  private readonly anyTarget: ChoicePolicy;

  public constructor(
    private readonly targets: TargetTable,
    random: Random,
    private readonly limits: Pick<TargetLimits, 'admits'> = { admits: () => true },
    private readonly policy: ChoicePolicy = new LowestOfSample(random),
    private readonly notices: Pick<TargetNotices, 'isUsable'> = { isUsable: () => true },
  ) {
    this.anyTarget = new LowestCost(random);
  }

  /** Returns undefined if no target of the service may get the request: each leaves, pauses, or has used up its limit. */
  public select(req: SelectionRequest, now: number): Selection | undefined {
    const candidates = this.targets
      .candidates(req.service)
      .filter(({ info }) => !req.excluded.has(info.id) && this.notices.isUsable(info, now));
    const { dataCentre, expectedMs } = req;
    // Asked once for each target and request: a limit that does not admit the request has used up its share.
    const admitted = new Map<string, boolean>();
    const isAdmitted = ({ info: { id } }: TargetState): boolean => {
      const known = admitted.get(id) ?? this.limits.admits(id, now);
      admitted.set(id, known);
      return known;
    };
    const ctx = {
      dataCentre,
      expectedMs,
      isFailing: () => false,
      isConnected: ({ info }: TargetState) => req.hasIdleConnection?.(info.address) === true,
      costOf: (target: TargetState) =>
        isAdmitted(target) ? expectedCost(target, req, now) : Infinity,
    };
    const best = this.policy.choose(candidates, ctx) ?? this.anyTarget.choose(candidates, ctx);
    if (best === undefined) return undefined;
    const waitMs = expectedWaitMs(best.target, expectedMs, now);
    return { ...best, waitMs, candidates: candidates.length };
  }
}
