/** Limit of one entry's outstanding requests at one target, or at all of them. */
import type { Random } from '@marigoldbank/base/random';
import { MIN_CONCURRENCY_LIMIT } from './constants.js';

/** Limit of a target that starts cold: a quarter of an entry's request at a time. */
const COLD_LIMIT = 0.25;

const SHED_FACTOR = 0.85;

/** Time after a shed answer in which successes do not raise the limit: the reported load is older than that. */
const GROWTH_PAUSE_MS = 500;

/** Requests outstanding over the fleet, per slot, that the entries aim at; above 1 so that no slot waits for one. */
export const DESIRED_LOAD = 1.15;

const LOAD_SMOOTHING = 0.5;

/** Bounds of the correction per update, and the exponent that keeps the delayed loop from oscillating. */
const MIN_CORRECTION = 0.5;
const MAX_CORRECTION = 1.5;
const CORRECTION_EXPONENT = 0.5;

/** Load per slot below which every success raises the limit, so that an entry can take over traffic at once. */
const LOW_LOAD = 0.7;

/** Growth per success at a low load: relative below 1, absolute above. */
const LOW_LOAD_GROWTH = { relative: 0.25, absolute: 1 };

/** Growth per update that evens out the limits of the entries. */
const ADDITIVE_INCREASE = 0.02;

/** Share of the distance to the fair limit that a limit moves per update under contention. */
const FAIR_LIMIT_CONVERGENCE = 0.3;

/** Aimed over reported load below which the entries contend for the slots. */
const CONTENTION_RATIO = 1.3;

/** A limit stays near what the entry uses, so that a sudden overload does not meet the sum of unused limits. */
const HEADROOM_FACTOR = 2;
const HEADROOM = 1;
const PEAK_DECAY = 0.9;

/**
 * The slots of a target are shared by all entries, so a limit adapts to shed answers and to the fleet's load. A limit
 * below 1 means one request at a time with pauses in between.
 */
export class ConcurrencyLimit {
  private limit: number;

  private load = 0;

  /** The limit rounded up or down at random, so that its fraction counts on average. */
  private roundedLimit = 1;

  /** Most requests outstanding lately. */
  private recentPeak = 1;

  private pausedUntilValue = 0;

  private reducedAt = Number.NEGATIVE_INFINITY;

  public constructor(
    private slots: number,
    isCold: boolean,
    private readonly random: Random,
  ) {
    this.limit = isCold ? COLD_LIMIT : slots;
    this.roundLimit();
  }

  public setSlots(slots: number): void {
    this.slots = slots;
    this.limit = Math.min(this.limit, slots);
    this.roundedLimit = Math.min(this.roundedLimit, slots);
  }

  /** Monotonic ms before which no request is sent. */
  public get pausedUntil(): number {
    return this.pausedUntilValue;
  }

  public hasRoom(outstanding: number, now: number): boolean {
    return outstanding < this.roundedLimit && now >= this.pausedUntilValue;
  }

  /** A request starts; `outstanding` includes it. */
  public onUse(outstanding: number): void {
    this.recentPeak = Math.max(this.recentPeak, outstanding);
  }

  /** `outstanding` includes the shed request. */
  public onShed(outstanding: number, latencyMs: number, now: number): void {
    this.reduce(outstanding, latencyMs, now);
    this.roundLimit();
    this.pause(latencyMs * Math.max(0.5, 1 / this.limit - 1), now);
  }

  /** Reduces the limit once per latency, since one moment of overload sheds many requests. */
  public reduce(outstanding: number, latencyMs: number, now: number): void {
    if (now < this.reducedAt + latencyMs) return;
    this.reducedAt = now;
    this.limit = Math.max(
      MIN_CONCURRENCY_LIMIT,
      Math.min(this.limit, outstanding + 1) * SHED_FACTOR,
    );
  }

  public onSuccess(latencyMs: number, now: number): void {
    const mayGrow = now >= this.reducedAt + GROWTH_PAUSE_MS;
    if (mayGrow && this.load < LOW_LOAD * this.slots) {
      const { relative, absolute } = LOW_LOAD_GROWTH;
      const growth = this.limit < 1 ? relative * this.limit : absolute;
      this.limit = Math.max(this.limit, Math.min(this.maxLimit(), this.limit + growth));
    }
    this.roundLimit();
    if (this.limit < 1) this.pause(latencyMs * (1 / this.limit - 1), now);
  }

  /**
   * Adopts the requests outstanding over the fleet.
   * @param fairLimit the limit if all entries had the same
   */
  public onFleetLoad(fleetOutstanding: number, fairLimit?: number): void {
    this.load += LOAD_SMOOTHING * (fleetOutstanding - this.load);
    this.recentPeak *= PEAK_DECAY;
    const ratio = (DESIRED_LOAD * this.slots) / Math.max(1, this.load);
    const bounded = Math.min(MAX_CORRECTION, Math.max(MIN_CORRECTION, ratio));
    const corrected = this.limit * bounded ** CORRECTION_EXPONENT + ADDITIVE_INCREASE;
    // Under contention the limits of the entries approach each other, or unlucky entries would starve their callers.
    const isContended = ratio < CONTENTION_RATIO;
    const convergence =
      isContended && fairLimit !== undefined
        ? FAIR_LIMIT_CONVERGENCE * (fairLimit - this.limit)
        : 0;
    this.limit = Math.max(
      MIN_CONCURRENCY_LIMIT,
      Math.min(corrected + convergence, this.maxLimit()),
    );
    this.roundLimit();
  }

  private roundLimit(): void {
    this.roundedLimit = Math.max(1, Math.floor(this.limit + this.random.float()));
  }

  private maxLimit(): number {
    return Math.min(this.slots, HEADROOM_FACTOR * this.recentPeak + HEADROOM);
  }

  /** The pause is spread, so that entries that were refused together do not return together. */
  private pause(meanMs: number, now: number): void {
    this.pausedUntilValue = now + meanMs * (0.5 + this.random.float());
  }
}
