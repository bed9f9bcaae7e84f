/** System time that can jump ahead, as it does for a process that was frozen. */
import { SystemClock } from '@marigoldbank/base/clock';

/** Timers stay on the system's time: after a thaw, code may run before a timer that is overdue. */
export class JumpingClock extends SystemClock {
  private offsetMs = 0;

  public override now(): number {
    return super.now() + this.offsetMs;
  }

  public jump(byMs: number): void {
    this.offsetMs += byMs;
  }
}
