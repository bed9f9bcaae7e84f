/** Processor time of one simulated process, for tests. */
import type { Clock } from '@marigoldbank/base/clock';
import type { IDisposable } from '@marigoldbank/base/lifecycle';

/** Runs one piece of work after the other. Each takes its processor time divided by the share that the process has. */
export class FakeProcessor {
  private freeAt = 0;

  private isStopped = false;

  /** `share` is the part of a core that the process has at the moment. */
  public constructor(
    private readonly clock: Clock,
    private readonly share: () => number,
  ) {}

  /** Calls `work` once it has had `costMs` of processor time, after all work that was added before. */
  public run(costMs: number, work: () => void): void {
    const startAt = Math.max(this.clock.now(), this.freeAt);
    this.freeAt = startAt + costMs / this.share();
    this.clock.setTimeout(() => {
      if (!this.isStopped) work();
    }, this.freeAt - this.clock.now());
  }

  /** Simulates the end of the process: no work is done any more. */
  public stop(): void {
    this.isStopped = true;
  }

  /** A clock whose timers wait until the process has time for them. */
  public timers(costMs: number): Clock {
    return {
      now: () => this.clock.now(),
      setTimeout: (fn, delayMs): IDisposable => {
        let isCancelled = false;
        const timer = this.clock.setTimeout(
          () =>
            this.run(costMs, () => {
              if (!isCancelled) fn();
            }),
          delayMs,
        );
        return {
          dispose: () => {
            isCancelled = true;
            timer.dispose();
          },
        };
      },
    };
  }
}
