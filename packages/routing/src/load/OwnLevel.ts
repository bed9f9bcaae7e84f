/** Level of a service by the observations of one entry: what targets rejected of its requests for lack of room. */
import { type Level } from './LevelPolicy.js';
import { sharesByRank } from './rank-shares.js';

/** The shares of an interval follow from the one before. */
const INTERVAL_MS = 1_000;

/** With fewer attempts, a single rejection would decide. */
const MIN_ENDED = 5;

/** The refused share falls by at most this in one interval. */
const MAX_FALL = 0.1;

const WAIT_MS = 1_000;

/** The highest load at which targets accepted requests is forgotten within this time. */
const PEAK_MEMORY_MS = 5_000;

/** The load is known with a delay, so that a rejection for lack of room may seem to be at a slightly lower load. */
const PEAK_TOLERANCE = 0.9;

/** An attempt that ended. */
export interface EndedAttempt {
  /** Whether the target rejected the request without running it. */
  readonly isRejected: boolean;
  /** Requests in flight at the target as a multiple of its slots. */
  readonly load: number;
}

interface Interval {
  ended: number;
  outOfRoom: number;
  readonly offered: Map<number, number>;
}

function newInterval(): Interval {
  return { ended: 0, outOfRoom: 0, offered: new Map() };
}

export class OwnLevel {
  private current = newInterval();

  private startedAt = -Infinity;

  private refusedShare = 0;

  /** Highest load of targets that accepted a request. */
  private peak = { load: 0, at: -Infinity };

  private shares: ReadonlyMap<number, number> = new Map();

  public noteOffered(rank: number, now: number): void {
    this.advance(now);
    const { offered } = this.current;
    offered.set(rank, (offered.get(rank) ?? 0) + 1);
  }

  /**
   * Notes an attempt, and returns whether it was rejected for lack of room. Targets with a queue accept requests at a higher
   * load than one; a rejection below what was accepted elsewhere has another reason.
   */
  public noteEnded({ isRejected, load }: EndedAttempt, now: number): boolean {
    this.advance(now);
    const peak = this.peak.load * Math.exp(-(now - this.peak.at) / PEAK_MEMORY_MS);
    if (!isRejected && load >= peak) this.peak = { load, at: now };
    const isOutOfRoom = isRejected && load >= Math.max(1, PEAK_TOLERANCE * peak);
    this.current.ended += 1;
    if (isOutOfRoom) this.current.outOfRoom += 1;
    return isOutOfRoom;
  }

  public level(now: number): Level {
    this.advance(now);
    return { ranks: this.shares, teams: new Map(), waitMs: WAIT_MS };
  }

  /** Computes the shares once in an interval. */
  private advance(now: number): void {
    const passedMs = now - this.startedAt;
    if (passedMs < INTERVAL_MS) return;
    const { ended, outOfRoom, offered } = this.current;
    const isRecent = passedMs < 2 * INTERVAL_MS;
    const rejected = isRecent && ended >= MIN_ENDED ? outOfRoom / ended : 0;
    const kept = isRecent ? Math.max(0, this.refusedShare - MAX_FALL) : 0;
    this.refusedShare = 1 - (1 - kept) * (1 - rejected);
    const total = [...offered.values()].reduce((sum, count) => sum + count, 0);
    const budget = total * (1 - this.refusedShare);
    this.shares = this.refusedShare <= 0 ? new Map() : sharesByRank(offered, budget);
    this.current = newInterval();
    this.startedAt = now;
  }
}
