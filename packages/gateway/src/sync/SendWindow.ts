/**
 * Limits the messages of one stream that its receiver has not handled. A sender whose window is closed collects what it
 * has to say, so that its messages become larger and not more numerous than the receiver can handle.
 */

/** Messages without a deadline. A second one is under way while the receiver handles the first. */
const MAX_UNHANDLED = 2;

/** With messages that cannot wait. */
const MAX_UNHANDLED_URGENT = 3;

export class SendWindow {
  /** Times of the messages that the receiver has not handled, as they are in the messages. */
  private unhandled: number[] = [];

  /** A receiver of an older release never says what it has handled. */
  private isLimited = false;

  public isOpen(isUrgent: boolean): boolean {
    const max = isUrgent ? MAX_UNHANDLED_URGENT : MAX_UNHANDLED;
    return !this.isLimited || this.unhandled.length < max;
  }

  public noteSent(sentAtMs: number): void {
    this.unhandled = [...this.unhandled, sentAtMs].slice(-MAX_UNHANDLED_URGENT);
  }

  /** Notes that the receiver has handled the message of this time and all before it; 0 if it does not say. */
  public noteHandled(sentAtMs: number): void {
    if (sentAtMs <= 0) return;
    this.isLimited = true;
    this.unhandled = this.unhandled.filter((at) => at > sentAtMs);
  }

  /** Starts with a new stream. */
  public clear(): void {
    this.unhandled = [];
    this.isLimited = false;
  }
}
