/**
 * A level by rank: urgent ranks are admitted first, after teams that have grown above their fair share are limited. It is
 * computed from what arrives and from the room; refusals do not enter it.
 */
import { isOpen, LevelPolicy, OPEN_LEVEL, type Level, type LevelInput } from './LevelPolicy.js';
import { sharesByRank } from './rank-shares.js';
import type { OfferedRate } from './ServiceLoadTable.js';
import { TeamCaps } from './TeamCaps.js';

/** Share of the room that is filled. With all slots in use, requests would queue at targets without end. */
const FILLED_SHARE = 0.95;

/** Requests in the queues of targets are to be processed within this time, in place of new ones. */
const DRAIN_S = 1.5;
const MIN_FILLED_SHARE = 0.3;

/** Below this share of slots in use there is room, whatever the estimate says. */
const MIN_BUSY_SHARE = 0.9;

/**
 * A level begins when the demand exceeds the room by this many standard deviations of their ratio. Demand is counted over
 * about 2 s and ended requests over 4 s, so that the variance is about that of the requests of one second.
 */
const START_DEVIATIONS = 3;

/** A level ends below this share of slots in use, so that a wrong estimate of the room cannot keep targets idle. */
const RELEASE_BUSY_SHARE = 0.7;

/** A share rises by at most this in one update. */
const MAX_RISE = 0.1;

/** Shares above this are sent as a whole, in thousandths. */
const ADMITS_ALL = 0.9995;

const MIN_WAIT_MS = 300;
const MAX_WAIT_MS = 3_000;

/** Wait for each multiple of the room that is exceeded. */
const WAIT_PER_EXCESS_MS = 1_000;

function sumOf(offered: readonly OfferedRate[], rateOf: (rates: OfferedRate) => number): number {
  return offered.reduce((sum, rates) => sum + rateOf(rates), 0);
}

function relax<K>(
  before: ReadonlyMap<K, number>,
  target: ReadonlyMap<K, number>,
): ReadonlyMap<K, number> {
  const keys = [...new Set([...before.keys(), ...target.keys()])];
  const shares = keys.map((key) => {
    const limit = (before.get(key) ?? 1) + MAX_RISE;
    return [key, Math.min(limit, target.get(key) ?? 1)] as const;
  });
  return new Map(shares.filter(([, share]) => share < ADMITS_ALL));
}

export class RankLevelPolicy extends LevelPolicy {
  private readonly caps = new TeamCaps();

  private level = OPEN_LEVEL;

  public override update(input: LevelInput, now: number): Level {
    const { offered, room, queued } = input;
    const total = sumOf(offered, ({ perSecond }) => perSecond);
    const free = Math.max(MIN_FILLED_SHARE * room, FILLED_SHARE * room - queued / DRAIN_S);
    const budget = this.isNeeded(input, total) ? free : Infinity;
    const teams = this.caps.update(offered, budget, now);
    const demand = new Map<number, number>();
    offered.forEach(({ rank, team, perSecond, arriving }) => {
      const admitted = Math.min(perSecond, (teams.get(team) ?? 1) * arriving);
      demand.set(rank, (demand.get(rank) ?? 0) + admitted);
    });
    const excess = room > 0 ? total / room - 1 : Infinity;
    this.level = {
      ranks: relax(this.level.ranks, sharesByRank(demand, budget)),
      teams: relax(this.level.teams, teams),
      waitMs: Math.min(MAX_WAIT_MS, Math.max(MIN_WAIT_MS, WAIT_PER_EXCESS_MS * excess)),
    };
    return this.level;
  }

  /** Whether there is too little room. Callers that return do not keep a level in force. */
  private isNeeded({ offered, room, busyShare }: LevelInput, total: number): boolean {
    if (!isOpen(this.level)) {
      const fresh = sumOf(offered, (rates) => rates.fresh);
      return fresh > FILLED_SHARE * room && busyShare > RELEASE_BUSY_SHARE;
    }
    const margin = START_DEVIATIONS / Math.sqrt(Math.max(1, total));
    return total > room * (1 + margin) && busyShare > MIN_BUSY_SHARE;
  }
}
