/** Choice of the target of a request when each target sees few requests a second. */
import type { Random } from '@marigoldbank/base/random';
import type { TargetTable, TargetState } from './TargetTable.js';

/** What a choice depends on. */
export interface SelectionRequest {
  readonly service: string;
  /** Whether the request may be sent again after a failure. */
  readonly canRepeat: boolean;
  /** Data centre of the entry. */
  readonly dataCentre: string;
  /** Targets that were tried already. */
  readonly excluded: ReadonlySet<string>;
  /** Expected time of the request at a sound target. */
  readonly expectedMs: number;
  /** Time left until the final answer is due. */
  readonly remainingMs: number;
}

/** A chosen target, and how many of the candidates were taken into account. */
export interface Selection {
  readonly target: TargetState;
  readonly cost: number;
  /** Expected wait for a slot. */
  readonly waitMs: number;
  readonly candidates: number;
}

/** Cost of a failure, in units of the request's credit: a request that must not be repeated is lost. */
const LOSS_COST = 1;

/** Cost of a failure of a request that is then sent to another target. */
const REPEAT_COST = 0.12;

/** Traffic between data centres is paid for, about a twentieth of an average request's credit. */
const OTHER_DATA_CENTRE_COST = 0.03;

/** Some targets slow down when nearly full. */
const FULLNESS_COST = 0.05;

/** Cost of waiting for a slot as long as the whole request takes. */
const WAIT_COST = 0.3;

/** Largest value of learning about a target that has shown no outcome lately. */
const EXPLORATION_VALUE = 0.1;

/** After this time without an outcome a target is worth the whole exploration value. */
const EXPLORATION_MS = 1_500;

/** Above this probability a target counts as failing and is only probed, one request at a time. */
export const FAILING_THRESHOLD = 0.4;

/** Time between two probes of a failing target by the whole fleet. */
const PROBE_INTERVAL_MS = 1_200;

/** Value of a due probe of a failing target; above the loss it risks. */
const PROBE_VALUE = 0.2;

/** A probe leaves time for a second target: so many expected durations. */
const PROBE_NEEDS_DURATIONS = 2.5;

/** A target that has just started serves at half speed. */
const COLD_FACTOR = 2;

/** Cost of a target that this entry could not reach a moment ago. */
const UNREACHABLE_COST = 2;

/** Breaks ties between equal targets, so that entries do not move in step. */
const JITTER = 0.01;

/** Expected wait for a slot at a target, in milliseconds. */
export function expectedWaitMs(target: TargetState, expectedMs: number, now: number): number {
  const { slots } = target.info;
  const inFlight = target.ownInFlight + target.othersInFlight;
  const factor = now < target.coldUntil ? COLD_FACTOR : 1;
  return (Math.max(0, inFlight + 1 - slots) / slots) * expectedMs * factor;
}

/** Value of learning about a target by sending a request that may be repeated. */
function probeValue(
  target: TargetState,
  failing: number,
  req: SelectionRequest,
  now: number,
): number {
  if (failing < FAILING_THRESHOLD) {
    const idleMs = Math.max(0, now - Math.max(target.lastOutcomeAt, target.lastTriedAt));
    return EXPLORATION_VALUE * Math.min(1, idleMs / EXPLORATION_MS);
  }
  const isDue = now - Math.max(target.lastTriedAt, target.lastOutcomeAt) >= PROBE_INTERVAL_MS;
  const isFree = target.ownInFlight + target.othersInFlight === 0;
  const hasTime = req.remainingMs > PROBE_NEEDS_DURATIONS * req.expectedMs;
  return isDue && isFree && hasTime ? PROBE_VALUE : 0;
}

/** Expected cost of a choice, in units of the request's credit. */
function expectedCost(target: TargetState, req: SelectionRequest, now: number): number {
  const { info } = target;
  const failing = target.belief.failingProbability(now);
  const inFlight = target.ownInFlight + target.othersInFlight;
  const factor = now < target.coldUntil ? COLD_FACTOR : 1;
  const waitMs = expectedWaitMs(target, req.expectedMs, now);
  const placeCost = info.dataCentre === req.dataCentre ? 0 : OTHER_DATA_CENTRE_COST;
  const loadCost =
    FULLNESS_COST * Math.min(1, (inFlight * factor) / info.slots) +
    WAIT_COST * (waitMs / req.expectedMs);
  const failureCost = failing * (req.canRepeat ? REPEAT_COST : LOSS_COST);
  const value = req.canRepeat ? probeValue(target, failing, req, now) : 0;
  const reachCost = now < target.unreachableUntil ? UNREACHABLE_COST : 0;
  return failureCost + placeCost + loadCost + reachCost - value;
}

/** Picks the target with the least expected cost. */
export class TargetSelector {
  public constructor(
    private readonly board: TargetTable,
    private readonly random: Random,
  ) {}

  /** The best target, or undefined if none is left. */
  public select(req: SelectionRequest, now: number): Selection | undefined {
    const candidates = this.board
      .candidates(req.service)
      .filter(({ info }) => !req.excluded.has(info.id));
    const scored = candidates.map((target) => ({
      target,
      cost: expectedCost(target, req, now) + JITTER * this.random.float(),
    }));
    const best = scored.reduce<(typeof scored)[number] | undefined>(
      (least, item) => (least === undefined || item.cost < least.cost ? item : least),
      undefined,
    );
    if (best === undefined) return undefined;
    const waitMs = expectedWaitMs(best.target, req.expectedMs, now);
    return { ...best, waitMs, candidates: candidates.length };
  }
}
