import type { Clock } from '@marigoldbank/base/clock';

const LINK_MS = 1;

/** One direction of a stream: its messages arrive in the order in which they were sent. */
export class FakeStream {
  private lastArrivalAt = 0;

  public constructor(private readonly clock: Clock) {}

  public deliver(delayMs: number, fn: () => void): void {
    const now = this.clock.now();
    this.lastArrivalAt = Math.max(this.lastArrivalAt, now + LINK_MS + delayMs);
    this.clock.setTimeout(fn, this.lastArrivalAt - now);
  }
}
