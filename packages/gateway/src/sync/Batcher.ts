/** Delays a flush so that several changes are sent in one message. */
import type { Clock } from '@marigoldbank/base/clock';
import type { IDisposable } from '@marigoldbank/base/lifecycle';

export class Batcher implements IDisposable {
  private timer: IDisposable | undefined;

  private dueAt = Infinity;

  public constructor(
    private readonly clock: Clock,
    private readonly flush: () => void,
  ) {}

  /** Schedules a flush in `delayMs`, unless one is already due by then. */
  public request(delayMs: number): void {
    const at = this.clock.now() + delayMs;
    if (at >= this.dueAt) return;
    this.timer?.dispose();
    this.dueAt = at;
    this.timer = this.clock.setTimeout(() => {
      this.dueAt = Infinity;
      this.timer = undefined;
      this.flush();
    }, delayMs);
  }

  public dispose(): void {
    this.timer?.dispose();
    this.timer = undefined;
    this.dueAt = Infinity;
  }
}
