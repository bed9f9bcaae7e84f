/**
 * Brings unused targets of a service back into use while many of its requests are not served. A target that failed once is
 * avoided for seconds, and requests that may not be repeated never try it again, so that a short failure of many targets
 * would leave the others without room for as long.
 */
import type { Random } from '@marigoldbank/base/random';
import type { TargetState } from './TargetTable.js';
import { lastUsedAt } from './unused-targets.js';

/** Share of the requests that are not served from which on targets are tried again. Below, the others have enough room. */
const MIN_UNSERVED_SHARE = 0.1;

/** Targets in use beyond the floor, as a share of all: entries learn late of each other's requests. */
const MARGIN = 0.1;

/** A target counts as unused after this time, so that it gets a request within 2 s. One that failed is not tried sooner either. */
const UNUSED_MS = 1_500;

/** Time in which all missing targets are tried. */
const SPREAD_S = 1;

/** Most requests go to a target by the usual choice, whatever is unused: with few requests, many targets are. */
const MAX_SHARE = 0.25;

/** A target of another data centre is tried if it is less likely to fail by this much: traffic between them is billed. */
const ELSEWHERE_PENALTY = 0.1;

/** Targets of which the one that least likely fails is tried. A few, so that entries do not all choose the same one. */
const SAMPLE_SIZE = 3;

/** Requests to a service. */
export interface ServiceRequests {
  /** Share of them that was not served, and of those that no target has run. */
  readonly unservedShare: number;
  readonly refusedShare: number;
  /** Requests a second of all entries. */
  readonly perSecond: number;
  /** Data centre of this entry. */
  readonly dataCentre: string;
}

/** Times are monotonic ms. */
export class TargetFloor {
  /** `floorShare` is the share of the targets to keep in use, undefined for no floor. */
  public constructor(
    private readonly random: Random,
    private readonly floorShare: number | undefined,
  ) {}

  /** Returns an unused target for one request, undefined for the usual choice. `usable` lists the targets that may get requests. */
  public pick(
    usable: () => readonly TargetState[],
    { unservedShare, refusedShare, perSecond, dataCentre }: ServiceRequests,
    now: number,
  ): TargetState | undefined {
    if (this.floorShare === undefined || unservedShare <= MIN_UNSERVED_SHARE) return undefined;
    const targets = usable();
    const unused = targets.filter((target) => TargetFloor.isUnused(target, now));
    const belowFloor = unused.length - (1 - this.floorShare - MARGIN) * targets.length;
    const missing = Math.max(belowFloor, refusedShare * unused.length);
    const share = Math.min(MAX_SHARE, missing / (perSecond * SPREAD_S));
    if (missing <= 0 || !this.random.chance(share)) return undefined;
    const costOf = ({ belief, info }: TargetState): number =>
      belief.failingProbability(now) + (info.dataCentre === dataCentre ? 0 : ELSEWHERE_PENALTY);
    const [least] = this.random.sample(unused, SAMPLE_SIZE).sort((a, b) => costOf(a) - costOf(b));
    return least;
  }

  private static isUnused(target: TargetState, now: number): boolean {
    const { unreachableUntil, ownInFlight, othersInFlight } = target;
    if (ownInFlight + othersInFlight > 0 || now < unreachableUntil) return false;
    return now - lastUsedAt(target) >= UNUSED_MS;
  }
}
