/**
 * Times after which callers of refused requests are asked to return. Callers that are refused at the same moment get
 * different times: with a common one they return together, and most of them are refused again.
 */
import type { Random } from '@marigoldbank/base/random';

/** Callers ignore a time that is longer than this share of the time that their request has left. */
const MAX_REMAINING_SHARE = 1 / 3;

/**
 * Range after a rejection that does not follow load. The next attempt most likely succeeds, and a caller that returns does
 * not use the retry budget.
 */
const MIN_REJECTED_MS = 10;
const MAX_REJECTED_MS = 50;

/** Times without a better estimate are spread over this share of them. */
const SPREAD = 0.5;

/** Times that are cut to the limit are spread over this share of it: the later, the fewer useless returns. */
const LIMIT_SPREAD = 0.25;

/** Period over which the rate of arrivals is measured. */
const RATE_PERIOD_MS = 1_000;

/** No rank gets less than this share of the room (bound 2 of the work plan), however many urgent requests there are. */
const MIN_RANK_SHARE = 0.25;

/** Promises that are kept for a service. Further ones are given, but do not delay others. */
const MAX_PROMISES = 1_000;

/** A caller that was asked to return. */
interface ReturnPromise {
  readonly rank: number;
  /** Monotonic ms. */
  readonly at: number;
}

interface ArrivalRate {
  perMs: number;
  at: number;
}

export interface ReturnRequest {
  readonly service: string;
  /** 0 is the most urgent. */
  readonly rank: number;
  /** Time until a slot is expected to be free for any request, in ms. */
  readonly waitMs: number;
  /** Requests a millisecond that the entry may start. */
  readonly perMs: number;
  /** Requests that wait at the entry and are at least as urgent. */
  readonly waiting: number;
  /** Time until the deadline of the request. */
  readonly remainingMs: number;
}

export class ReturnTimes {
  private readonly promises = new Map<string, ReturnPromise[]>();

  private readonly arrivals = new Map<string, Map<number, ArrivalRate>>();

  public constructor(private readonly random: Random) {}

  /** Counts a request that arrived, which uses room before less urgent ones. */
  public noteArrival(service: string, rank: number, now: number): void {
    const rates = this.arrivals.get(service) ?? new Map<number, ArrivalRate>();
    this.arrivals.set(service, rates);
    const perMs = ReturnTimes.decayed(rates.get(rank), now) + 1 / RATE_PERIOD_MS;
    rates.set(rank, { perMs, at: now });
  }

  /** Milliseconds after a rejection by targets that had free slots. */
  public afterRejection(remainingMs: number): number {
    const ms = MIN_REJECTED_MS + (MAX_REJECTED_MS - MIN_REJECTED_MS) * this.random.float();
    return this.bounded(ms, remainingMs);
  }

  /** Milliseconds after a refusal for another reason, at least the time after which that may have ended. */
  public after(earliestMs: number, remainingMs: number): number {
    return this.bounded(earliestMs * (1 + SPREAD * this.random.float()), remainingMs);
  }

  /**
   * Milliseconds after which room for the request is expected. Callers are placed one after the other at the rate of the
   * room that more urgent arrivals leave, behind those at least as urgent that wait or were asked to return.
   */
  public forRoom(req: ReturnRequest, now: number): number {
    const { service, rank, waitMs, perMs, waiting, remainingMs } = req;
    const open = (this.promises.get(service) ?? []).filter(({ at }) => at > now);
    const ahead = waiting + open.filter((promise) => promise.rank <= rank).length;
    const rate = this.rateLeft(service, rank, perMs, now);
    const ms = this.bounded(waitMs + (ahead + this.random.float()) / rate, remainingMs);
    if (open.length < MAX_PROMISES) open.push({ rank, at: now + ms });
    this.promises.set(service, open);
    return ms;
  }

  /** Room that the more urgent arrivals of this entry leave, in requests a millisecond. */
  private rateLeft(service: string, rank: number, perMs: number, now: number): number {
    const urgent = [...(this.arrivals.get(service) ?? [])]
      .filter(([other]) => other < rank)
      .reduce((sum, [, rate]) => sum + ReturnTimes.decayed(rate, now), 0);
    return Math.max(Number.EPSILON, MIN_RANK_SHARE * perMs, perMs - urgent);
  }

  /** Limits a time to what the caller accepts. Times beyond it are spread over the later half, since a limit is common. */
  private bounded(ms: number, remainingMs: number): number {
    const limit = Math.max(0, remainingMs) * MAX_REMAINING_SHARE;
    return Math.floor(ms <= limit ? ms : limit * (1 - LIMIT_SPREAD * this.random.float()));
  }

  private static decayed(rate: ArrivalRate | undefined, now: number): number {
    return rate === undefined ? 0 : rate.perMs * Math.exp((rate.at - now) / RATE_PERIOD_MS);
  }
}
