/** Queue of the outgoing messages of one stream. */

/** The stream is ended if its reader falls behind by more messages; the reader reconnects and gets a full snapshot. */
const MAX_PENDING = 2_000;

/** Messages are pushed by the producer and read as an async iterable by the consumer. */
export class MessageQueue<T> implements AsyncIterable<T> {
  private readonly pending: T[] = [];

  private wake: (() => void) | undefined;

  private hasEnded = false;

  public constructor(
    /** Returns what may wait until the consumer has read all messages, as one message, if there is anything. */
    private readonly takeDeferred: () => T | undefined = () => undefined,
  ) {}

  public get isEnded(): boolean {
    return this.hasEnded;
  }

  public push(message: T): void {
    if (this.hasEnded) return;
    this.pending.push(message);
    if (this.pending.length > MAX_PENDING) this.end();
    this.wake?.();
  }

  /** Lets the consumer ask for what may wait. */
  public notify(): void {
    this.wake?.();
  }

  /** Ends the stream after the pending messages. */
  public end(): void {
    this.hasEnded = true;
    this.wake?.();
  }

  public async *[Symbol.asyncIterator](): AsyncIterator<T> {
    while (this.pending.length > 0 || !this.hasEnded) {
      const message = this.pending.shift() ?? this.takeDeferred();
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
