/** System clock that can jump ahead, as time does for a process that was frozen. */
import { SystemClock } from '@marigoldbank/base/clock';

/** Only `now` jumps; timers do not, since code may run before overdue timers when a frozen process resumes. */
export class JumpingClock extends SystemClock {
  private offsetMs = 0;

  public override now(): number {
    return super.now() + this.offsetMs;
  }

  public jump(byMs: number): void {
    this.offsetMs += byMs;
  }
}
