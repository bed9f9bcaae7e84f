/** The clock of one simulated process, which can be frozen and runs at a rate of its own. */
import type { Clock } from '@marigoldbank/base/clock';
import type { IDisposable } from '@marigoldbank/base/lifecycle';

/** Time passes while the process is frozen; its timers fire when it is thawed. */
export class ProcessClock implements Clock {
  private isFrozen = false;

  private isStopped = false;

  /** Timers that expired while the process was frozen. */
  private overdue: (() => void)[] = [];

  /** A rate of 2 makes time pass twice as fast for the process. */
  public constructor(
    private readonly inner: Clock,
    private readonly rate = 1,
  ) {}

  public now(): number {
    return this.inner.now() * this.rate;
  }

  public setTimeout(fn: () => void, delayMs: number): IDisposable {
    let isCancelled = false;
    const run = (): void => {
      if (!isCancelled && !this.isStopped) fn();
    };
    const timer = this.inner.setTimeout(() => {
      if (this.isFrozen) {
        this.overdue.push(run);
      } else {
        run();
      }
    }, delayMs / this.rate);
    return {
      dispose: () => {
        isCancelled = true;
        timer.dispose();
      },
    };
  }

  public freeze(): void {
    this.isFrozen = true;
  }

  public thaw(): void {
    this.isFrozen = false;
    const timers = this.overdue;
    this.overdue = [];
    timers.forEach((run) => run());
  }

  /** Simulates the end of the process: no timer fires any more. */
  public stop(): void {
    this.isStopped = true;
  }
}
