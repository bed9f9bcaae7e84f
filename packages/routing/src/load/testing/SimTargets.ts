/** Targets of one service in virtual time: slots, a queue, and rejections beyond it or without a cause. */
import type { VirtualClock } from '@marigoldbank/base/virtual-clock';
import type { Random } from '@marigoldbank/base/random';

const SLOTS = 3;
const QUEUE = 12;

/** Spread of the durations of one kind of request, as the standard deviation of the logarithm. */
const SIGMA = 0.3;

export type SimResult = 'served' | 'rejected' | 'late';

export interface SimJob {
  readonly workMs: number;
  readonly dueAt: number;
  readonly done: (result: SimResult) => void;
}

interface SimTarget {
  busy: number;
  inFlight: number;
  slowness: number;
  readonly queue: SimJob[];
}

export class SimTargets {
  public readonly slots: number;

  /** Share of the requests that targets reject while they have free slots. */
  public rejectedShare = 0;

  private readonly targets: SimTarget[];

  public constructor(
    private readonly clock: VirtualClock,
    private readonly random: Random,
    count: number,
  ) {
    this.targets = Array.from({ length: count }, () => ({
      busy: 0,
      inFlight: 0,
      slowness: 1,
      queue: [],
    }));
    this.slots = count * SLOTS;
  }

  public get count(): number {
    return this.targets.length;
  }

  public inFlightAt(target: number): number {
    return this.targets[target]!.inFlight;
  }

  public inFlights(): number[] {
    return this.targets.map(({ inFlight }) => inFlight);
  }

  public slowDown(share: number, slowness: number): void {
    this.targets
      .slice(0, this.targets.length * share)
      .forEach((target) => Object.assign(target, { slowness }));
  }

  public send(index: number, job: SimJob): void {
    const target = this.targets[index]!;
    const isFull = target.busy >= SLOTS && target.queue.length >= QUEUE;
    if (isFull || this.random.chance(this.rejectedShare)) {
      this.clock.setTimeout(() => job.done('rejected'), 1);
      return;
    }
    Object.assign(target, { inFlight: target.inFlight + 1 });
    target.queue.push(job);
    this.startNext(target);
  }

  private startNext(target: SimTarget): void {
    const job = target.busy < SLOTS ? target.queue.shift() : undefined;
    if (job === undefined) return;
    const now = this.clock.now();
    const takesMs = this.random.logNormal(job.workMs, SIGMA) * target.slowness;
    // The entry cancels what is late, and the target drops it.
    const isLate = now + takesMs > job.dueAt;
    Object.assign(target, { busy: target.busy + 1 });
    this.clock.setTimeout(
      () => {
        Object.assign(target, { busy: target.busy - 1, inFlight: target.inFlight - 1 });
        job.done(isLate ? 'late' : 'served');
        this.startNext(target);
      },
      Math.max(0, Math.min(takesMs, job.dueAt - now)),
    );
    this.startNext(target);
  }
}
