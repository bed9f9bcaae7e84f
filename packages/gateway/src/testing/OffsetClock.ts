import type { Clock } from '@marigoldbank/base/clock';
import type { IDisposable } from '@marigoldbank/base/lifecycle';

/** A clock with another origin, as that of another process. */
export class OffsetClock implements Clock {
  public constructor(
    private readonly inner: Clock,
    private readonly offsetMs: number,
  ) {}

  public now(): number {
    return this.inner.now() + this.offsetMs;
  }

  public setTimeout(fn: () => void, delayMs: number): IDisposable {
    return this.inner.setTimeout(fn, delayMs);
  }
}
