/** Target selection for services whose targets each receive only a few requests per second. */
import type { Random } from '@marigoldbank/base/random';
import type { ChoicePolicy } from './choice/ChoicePolicy.js';
import { LowestCost } from './choice/LowestCost.js';
import { LowestOfSample } from './choice/LowestOfSample.js';
import type { ITargetPaces } from './load/TargetPaces.js';
import type { TargetLimits } from './TargetLimits.js';
import type { TargetInfo, TargetTable, TargetState } from './TargetTable.js';

/** Decides which targets may get requests at all. */
export interface ITargetFilter {
  isUsable(info: TargetInfo, now: number): boolean;
}

/** Properties of a request that the selection depends on. */
export interface SelectionRequest {
  readonly service: string;
  /** Whether the request may be sent to another target after a failure. */
  readonly canRetry: boolean;
  /** Whether a second attempt can follow one at a target that most likely fails. If omitted, it can if `canRetry`. */
  readonly mayProbe?: boolean;
  /** Data centre of the entry. */
  readonly dataCentre: string;
  /** Ids of targets that were already tried. */
  readonly excluded: ReadonlySet<string>;
  /** Expected duration of the request at a healthy target. */
  readonly expectedMs: number;
  /** Time left until the deadline of the request. */
  readonly remainingMs: number;
  /** Whether this entry has an idle connection to an address, `ip:port`. Without it, all targets count as without one. */
  readonly hasIdleConnection?: (address: string) => boolean;
  /** How fast targets are. Without it, all targets of a service count as equally fast. */
  readonly paces?: ITargetPaces | undefined;
  /** Only these targets are compared, if given. */
  readonly among?: readonly TargetState[] | undefined;
}

export interface Selection {
  readonly target: TargetState;
  readonly cost: number;
  /** Expected wait for a slot. */
  readonly waitMs: number;
  /** Number of targets that were compared. */
  readonly candidates: number;
}

/** Cost of a failure if the request must not be retried, in units of the value of its response: all of it is lost. */
const FAILURE_COST = 1;

/** Cost of a failure if the request can be retried on another target. */
const RETRIED_FAILURE_COST = 0.12;

/** Traffic between data centres is billed, at about a twentieth of the value of an average response. */
const CROSS_DATA_CENTRE_COST = 0.03;

/** Cost of a target whose slots are all in use. Some targets slow down when nearly full. */
const UTILISATION_COST = 0.05;

/** Cost of waiting for a slot for the expected duration of the request. */
export const WAIT_COST = 0.3;

/** Maximum value of learning the state of a target that has been idle for a while. It is subtracted from the cost. */
const EXPLORATION_VALUE = 0.1;

/** Time without a request or an outcome after which the exploration value reaches its maximum. */
const EXPLORATION_MS = 1_500;

/** From this probability on, a target counts as failing: the value of a probe replaces the exploration value. */
export const FAILING_THRESHOLD = 0.4;

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

/** Number of slots that a target uses. */
export function usableSlots(
  { info }: TargetState,
  paces: ITargetPaces | undefined,
  now: number,
): number {
  if (paces === undefined) return info.slots;
  return Math.max(1, Math.round(info.slots * paces.paceOf(info, now).room));
}

/** Factor on the duration of requests at a target. */
export function slowdownOf(
  { info, coldUntil }: TargetState,
  paces: ITargetPaces | undefined,
  now: number,
): number {
  const slowdown = now < coldUntil ? COLD_SLOWDOWN : 1;
  if (paces === undefined) return slowdown;
  const { pace } = paces.paceOf(info, now);
  return slowdown === 1 ? pace : Math.max(slowdown, pace);
}

/** Expected wait for a slot at a target, in milliseconds. */
export function expectedWaitMs(
  target: TargetState,
  expectedMs: number,
  now: number,
  paces?: ITargetPaces,
): number {
  const slots = usableSlots(target, paces, now);
  const inFlight = target.ownInFlight + target.othersInFlight;
  const slowdown = slowdownOf(target, paces, now);
  return (Math.max(0, inFlight + 1 - slots) / slots) * expectedMs * slowdown;
}

/** Cost of the time that a target takes longer than the usual one, negative for a faster one. */
function paceCost({ info }: TargetState, paces: ITargetPaces | undefined, now: number): number {
  return paces === undefined ? 0 : WAIT_COST * (paces.paceOf(info, now).pace - 1);
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
function expectedCost(
  target: TargetState,
  req: SelectionRequest,
  now: number,
  crossingCost: number,
): number {
  const { info } = target;
  const failingProbability = target.belief.failingProbability(now);
  const inFlight = target.ownInFlight + target.othersInFlight;
  const { paces } = req;
  const slowdown = slowdownOf(target, paces, now);
  const waitMs = expectedWaitMs(target, req.expectedMs, now, paces);
  const dataCentreCost = info.dataCentre === req.dataCentre ? 0 : crossingCost;
  const loadCost =
    UTILISATION_COST * Math.min(1, (inFlight * slowdown) / usableSlots(target, paces, now)) +
    WAIT_COST * (waitMs / req.expectedMs) +
    paceCost(target, paces, now);
  const isRetried =
    req.canRetry && (req.mayProbe !== false || failingProbability < FAILING_THRESHOLD);
  const failureCost = failingProbability * (isRetried ? RETRIED_FAILURE_COST : FAILURE_COST);
  const value = isRetried ? informationValue(target, failingProbability, req, now) : 0;
  const unreachableCost = now < target.unreachableUntil ? UNREACHABLE_COST : 0;
  const connectionValue =
    req.hasIdleConnection?.(info.address) === true ? IDLE_CONNECTION_VALUE : 0;
  return failureCost + dataCentreCost + loadCost + unreachableCost - value - connectionValue;
}

/** What the selection asks about the limits of targets. */
export type SelectionLimits = Pick<TargetLimits, 'admits'> &
  Partial<Pick<TargetLimits, 'isCold' | 'mayBeCold'>>;

/** Selects a target with a low expected cost. */
export class TargetSelector {
  private readonly anyTarget: ChoicePolicy;

  public constructor(
    private readonly targets: TargetTable,
    random: Random,
    private readonly limits: SelectionLimits = { admits: () => true },
    private readonly policy: ChoicePolicy = new LowestOfSample(random),
    private readonly notices: ITargetFilter = { isUsable: () => true },
    private readonly crossingCost = CROSS_DATA_CENTRE_COST,
  ) {
    this.anyTarget = new LowestCost(random);
  }

  /** Returns undefined if no target of the service may get the request: each leaves, pauses, is evacuated, or has used up its limit. */
  public select(req: SelectionRequest, now: number): Selection | undefined {
    const usable = (req.among ?? this.targets.candidates(req.service)).filter(
      ({ info }) => !req.excluded.has(info.id) && this.notices.isUsable(info, now),
    );
    const { dataCentre, expectedMs } = req;
    // Asked once for each target and request: a limit that does not admit the request has used up its share.
    const admitted = new Map<string, boolean>();
    const isAdmitted = ({ info: { id } }: TargetState): boolean => {
      const known = admitted.get(id) ?? this.limits.admits(id, now);
      admitted.set(id, known);
      return known;
    };
    // An entry rarely has a share left at the few cold targets of a sample, so each of them is asked before.
    const candidates =
      this.limits.mayBeCold === true
        ? usable.filter(
            (target) => this.limits.isCold?.(target.info.id, now) !== true || isAdmitted(target),
          )
        : usable;
    const ctx = {
      dataCentre,
      expectedMs,
      isConnected: ({ info }: TargetState) => req.hasIdleConnection?.(info.address) === true,
      costOf: (target: TargetState) =>
        isAdmitted(target) ? expectedCost(target, req, now, this.crossingCost) : Infinity,
      isFailing: ({ belief, unreachableUntil }: TargetState) =>
        now < unreachableUntil || belief.failingProbability(now) >= FAILING_THRESHOLD,
    };
    const best = this.policy.choose(candidates, ctx) ?? this.anyTarget.choose(candidates, ctx);
    if (best === undefined) return undefined;
    const waitMs = expectedWaitMs(best.target, expectedMs, now, req.paces);
    return { ...best, waitMs, candidates: candidates.length };
  }
}
