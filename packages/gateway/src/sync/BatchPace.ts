/** Lengthens the intervals of batches while the event loop is busy, so that a busy process sends fewer messages. */
import { performance, type EventLoopUtilization } from 'node:perf_hooks';
import { setPeriodic, type Clock } from '@marigoldbank/base/clock';
import { DisposableStore } from '@marigoldbank/base/lifecycle';

const MEASURE_MS = 200;

/** Weight of the newest measurement in the smoothed utilisation. */
const SMOOTHING = 0.4;

/** Utilisation up to which intervals have their usual length. Above it they grow up to the maximum at 1. */
const RELAXED_UTILIZATION = 0.5;

const MAX_FACTOR = 4;

/** Factor by which the intervals of batches are longer than usual, at least 1. */
export interface Pace {
  readonly factor: number;
}

export const USUAL_PACE: Pace = { factor: 1 };

export class BatchPace extends DisposableStore implements Pace {
  private measured: EventLoopUtilization;

  private utilization = 0;

  public constructor(
    clock: Clock,
    private readonly measure: (since?: EventLoopUtilization) => EventLoopUtilization = (since) =>
      performance.eventLoopUtilization(since),
  ) {
    super();
    this.measured = measure();
    this.add(setPeriodic(clock, () => this.update(), MEASURE_MS));
  }

  public get factor(): number {
    const busy = Math.max(0, this.utilization - RELAXED_UTILIZATION) / (1 - RELAXED_UTILIZATION);
    return 1 + (MAX_FACTOR - 1) * Math.min(1, busy);
  }

  private update(): void {
    const { utilization } = this.measure(this.measured);
    this.measured = this.measure();
    this.utilization += SMOOTHING * (utilization - this.utilization);
  }
}
