/** Outgoing messages of one stream. */

/** A stream whose reader is this far behind is ended; the reader starts again with a whole snapshot. */
const MAX_WAITING = 2_000;

/** Messages pushed by one side and read as an async iterable by the other. */
export class MessageQueue<T> implements AsyncIterable<T> {
  private readonly waiting: T[] = [];

  private wake: (() => void) | undefined;

  private hasEnded = false;

  public get isEnded(): boolean {
    return this.hasEnded;
  }

  public push(message: T): void {
    if (this.hasEnded) return;
    this.waiting.push(message);
    if (this.waiting.length > MAX_WAITING) this.end();
    this.wake?.();
  }

  /** Ends the stream after the messages that wait. */
  public end(): void {
    this.hasEnded = true;
    this.wake?.();
  }

  public async *[Symbol.asyncIterator](): AsyncIterator<T> {
    while (this.waiting.length > 0 || !this.hasEnded) {
      const message = this.waiting.shift();
      if (message !== undefined) yield message;
      else await this.nextWake();
    }
  }

  private nextWake(): Promise<void> {
    return new Promise((resolve) => {
      this.wake = () => {
        this.wake = undefined;
        resolve();
      };
    });
  }
}
