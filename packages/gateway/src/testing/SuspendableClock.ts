import type { Clock } from '@marigoldbank/base/clock';
import { toDisposable, type IDisposable } from '@marigoldbank/base/lifecycle';

/** Steady clock of a VM that is suspended once. The clock stands still meanwhile, and nothing runs. */
export class SuspendableClock implements Clock {
  private suspendedAt = Infinity;

  private suspendedMs = 0;

  public constructor(private readonly inner: Clock) {}

  public get isSuspended(): boolean {
    const now = this.inner.now();
    return now >= this.suspendedAt && now < this.suspendedAt + this.suspendedMs;
  }

  public now(): number {
    const beyond = Math.max(0, this.inner.now() - this.suspendedAt);
    return this.inner.now() - Math.min(beyond, this.suspendedMs);
  }

  public setTimeout(fn: () => void, delayMs: number): IDisposable {
    const dueAt = this.now() + delayMs;
    let timer: IDisposable | undefined;
    const arm = (waitMs: number): void => {
      timer = this.inner.setTimeout(() => {
        if (this.isSuspended) arm(this.suspendedAt + this.suspendedMs - this.inner.now());
        else if (this.now() < dueAt) arm(dueAt - this.now());
        else fn();
      }, waitMs);
    };
    arm(delayMs);
    return toDisposable(() => timer?.dispose());
  }

  public suspend(durationMs: number): void {
    this.suspendedAt = this.inner.now();
    this.suspendedMs = durationMs;
  }
}
