/** Delays a flush so that several changes are sent in one message, and limits the rate of the messages. */
import type { Clock } from '@marigoldbank/base/clock';
import type { IDisposable } from '@marigoldbank/base/lifecycle';
import { USUAL_PACE, type Pace } from './BatchPace.js';

export class Batcher implements IDisposable {
  private timer: IDisposable | undefined;

  private dueAt = Infinity;

  private flushedAt = -Infinity;

  public constructor(
    private readonly clock: Clock,
    private readonly flush: () => void,
    /** Minimum time between two flushes. */
    private readonly minIntervalMs = 0,
    /** Lengthens the delays and the minimum time. */
    private readonly pace: Pace = USUAL_PACE,
  ) {}

  /** Schedules a flush in `delayMs`, or after the minimum interval, unless one is already due by then. */
  public request(delayMs: number): void {
    const now = this.clock.now();
    const { factor } = this.pace;
    const at = Math.max(now + delayMs * factor, this.flushedAt + this.minIntervalMs * factor);
    if (at >= this.dueAt) return;
    this.timer?.dispose();
    this.dueAt = at;
    this.timer = this.clock.setTimeout(() => {
      this.dueAt = Infinity;
      this.timer = undefined;
      this.flushedAt = this.clock.now();
      this.flush();
    }, at - now);
  }

  public dispose(): void {
    this.timer?.dispose();
    this.timer = undefined;
    this.dueAt = Infinity;
  }
}
