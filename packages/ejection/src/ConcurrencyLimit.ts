/** Adaptive limit of one entry's outstanding requests at one target, or at all targets together. */
import type { Random } from '@marigoldbank/base/random';
import { MIN_CONCURRENCY_LIMIT } from './constants.js';

/** Initial limit of a cold target: one request at a time, with pauses, so that 0.25 are outstanding on average. */
const COLD_LIMIT = 0.25;

const SHED_FACTOR = 0.85;

/** Time after a reduction in which successes do not raise the limit, since the reported load predates the reduction. */
const GROWTH_PAUSE_MS = 500;

/** Desired outstanding requests of the fleet per slot; above 1, so that no slot is idle for lack of a request. */
export const DESIRED_LOAD = 1.15;

const LOAD_SMOOTHING = 0.5;

/** Bounds of the correction per update. The exponent damps it, since a delayed control loop would oscillate. */
const MIN_CORRECTION = 0.5;
const MAX_CORRECTION = 1.5;
const CORRECTION_EXPONENT = 0.5;

/** Load per slot below which every success raises the limit, so that an entry can take over traffic quickly. */
const LOW_LOAD = 0.7;

/** Growth per success at low load: relative for a limit below 1, absolute above. */
const LOW_LOAD_GROWTH = { relative: 0.25, absolute: 1 };

/** Constant growth per update, which lets the limits of the entries converge. */
const ADDITIVE_INCREASE = 0.02;

/** Fraction of its distance to the fair limit by which a limit moves per update under contention. */
const FAIR_LIMIT_CONVERGENCE = 0.3;

/** Ratio of desired to reported load below which the entries contend for the slots. */
const CONTENTION_RATIO = 1.3;

/** Bounds a limit by the entry's recent use; otherwise a sudden overload could use the sum of all unused limits. */
const HEADROOM_FACTOR = 2;
const HEADROOM = 1;
const PEAK_DECAY = 0.9;

/**
 * The slots of a target are shared by all entries, so the limit adapts to shed requests and to the load of the fleet. A
 * limit below 1 means one request at a time with pauses in between.
 */
export class ConcurrencyLimit {
  private limit: number;

  private load = 0;

  /** The limit rounded up or down at random, so that it has the exact value on average. */
  private roundedLimit = 1;

  /** Recent maximum of outstanding requests, which decays per update. */
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

  /** Monotonic time in ms before which no request is sent. */
  public get pausedUntil(): number {
    return this.pausedUntilValue;
  }

  public hasRoom(outstanding: number, now: number): boolean {
    return outstanding < this.roundedLimit && now >= this.pausedUntilValue;
  }

  /** Called when a request starts; `outstanding` includes it. */
  public onUse(outstanding: number): void {
    this.recentPeak = Math.max(this.recentPeak, outstanding);
  }

  /** Called when the target shed a request; `outstanding` includes it. */
  public onShed(outstanding: number, latencyMs: number, now: number): void {
    this.reduce(outstanding, latencyMs, now);
    this.roundLimit();
    this.pause(latencyMs * Math.max(0.5, 1 / this.limit - 1), now);
  }

  /** Reduces the limit at most once per `latencyMs`, since one short overload sheds many requests. */
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
   * Adapts the limit to the requests outstanding over the whole fleet.
   * @param fairLimit the limit if all entries had an equal share
   */
  public onFleetLoad(fleetOutstanding: number, fairLimit?: number): void {
    this.load += LOAD_SMOOTHING * (fleetOutstanding - this.load);
    this.recentPeak *= PEAK_DECAY;
    const ratio = (DESIRED_LOAD * this.slots) / Math.max(1, this.load);
    const bounded = Math.min(MAX_CORRECTION, Math.max(MIN_CORRECTION, ratio));
    const corrected = this.limit * bounded ** CORRECTION_EXPONENT + ADDITIVE_INCREASE;
    // Under contention the limits of the entries converge; otherwise callers of an entry with a low limit would starve.
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

  /** The pause has random jitter, so that entries whose requests were shed together do not retry together. */
  private pause(meanMs: number, now: number): void {
    this.pausedUntilValue = now + meanMs * (0.5 + this.random.float());
  }
}
