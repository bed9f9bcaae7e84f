/** Limit of one entry's outstanding requests at one target. */
import type { Random } from '@marigoldbank/base/random';
import { LEAST_LIMIT } from './constants.js';

/** Limit of a target that starts cold: a quarter of an entry's request at a time. */
const COLD_LIMIT = 0.25;

const SHED_FACTOR = 0.7;

/** Growth per success: multiplicative below 1, additive above. */
const GROWTH_FACTOR = 1.05;
const GROWTH_STEP = 0.05;

/** Share of the slots in use over the fleet above which entries reduce, and below which they raise their limits. */
const HIGH_LOAD = 1.1;
const LOW_LOAD = 0.9;

const LOAD_SMOOTHING = 0.3;
const LARGEST_REDUCTION = 0.7;
const LOW_LOAD_GROWTH = 0.25;

/**
 * The slots of a target are shared by all entries, so a limit adapts to shed answers and to the fleet's load. A limit
 * below 1 means one request at a time with pauses in between.
 */
export class LocalLimit {
  private limit: number;

  private load = 0;

  private pausedUntilValue = 0;

  public constructor(
    private slots: number,
    isCold: boolean,
    private readonly random: Random,
  ) {
    this.limit = isCold ? COLD_LIMIT : slots;
  }

  public setSlots(slots: number): void {
    this.slots = slots;
    this.limit = Math.min(this.limit, slots);
  }

  /** Monotonic ms before which no request is sent. */
  public get pausedUntil(): number {
    return this.pausedUntilValue;
  }

  public hasRoom(outstanding: number, now: number): boolean {
    return outstanding < Math.max(1, Math.floor(this.limit)) && now >= this.pausedUntilValue;
  }

  public onShed(latencyMs: number, now: number): void {
    this.limit = Math.max(LEAST_LIMIT, this.limit * SHED_FACTOR);
    this.pause(latencyMs * Math.max(0.5, 1 / this.limit - 1), now);
  }

  public onSuccess(latencyMs: number, now: number): void {
    const { limit } = this;
    const grown = limit < 1 ? Math.min(1, limit * GROWTH_FACTOR) : limit + GROWTH_STEP;
    if (this.load < LOW_LOAD * this.slots) this.limit = Math.min(this.slots, grown);
    if (this.limit < 1) this.pause(latencyMs * (1 / this.limit - 1), now);
  }

  /** Adopts the requests outstanding at the target over the fleet. */
  public onFleetLoad(fleetOutstanding: number): void {
    this.load += LOAD_SMOOTHING * (fleetOutstanding - this.load);
    if (this.load > HIGH_LOAD * this.slots) {
      const factor = Math.max(LARGEST_REDUCTION, (HIGH_LOAD * this.slots) / this.load);
      this.limit = Math.max(LEAST_LIMIT, this.limit * factor);
    } else if (this.load < LOW_LOAD * this.slots) {
      this.limit = Math.min(this.slots, this.limit + LOW_LOAD_GROWTH);
    }
  }

  /** The pause is spread, so that entries that were refused together do not return together. */
  private pause(meanMs: number, now: number): void {
    this.pausedUntilValue = now + meanMs * (0.5 + this.random.float());
  }
}
