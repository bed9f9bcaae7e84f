/**
 * Bodies under way on the narrow link of an entry. At 2.5 Mbit/s a body of 360 kB takes more than a second to come in and as
 * long again to a target, so that two at once miss deadlines that one would keep.
 */
const MS_PER_SECOND = 1_000;

/** A body under way. Bytes that were received move from the incoming to the outgoing direction of the link. */
export interface Transfer {
  received: (bytes: number) => void;
  /** Ends the transfer, complete or not. */
  dispose: () => void;
}

export class LinkLoad {
  /** Announced bytes that have not been received. */
  private incoming = 0;

  /** Received bytes that are to be sent to targets, less what the link has carried since. */
  private outgoing = 0;

  private updatedAt = 0;

  public constructor(private readonly bytesPerSecond: number) {}

  /** Milliseconds until a body of this size has been received and the link is free to send it, behind those under way. */
  public transferMs(bytes: number, now: number): number {
    return this.timeOf(this.incoming + bytes) + this.sendWaitMs(now);
  }

  /** Milliseconds until the bodies that come in now have been received. */
  public get receiveWaitMs(): number {
    return this.timeOf(this.incoming);
  }

  /** Counts a body of a known size, until it is disposed of. `now` returns monotonic ms. */
  public begin(bytes: number, now: () => number): Transfer {
    let left = bytes;
    this.incoming += left;
    return {
      received: (count) => {
        const counted = Math.min(left, count);
        left -= counted;
        this.incoming -= counted;
        this.drain(now());
        this.outgoing += counted;
      },
      dispose: () => {
        this.incoming -= left;
        left = 0;
      },
    };
  }

  private sendWaitMs(now: number): number {
    this.drain(now);
    return this.timeOf(this.outgoing);
  }

  private drain(now: number): void {
    const carried = (Math.max(0, now - this.updatedAt) * this.bytesPerSecond) / MS_PER_SECOND;
    this.outgoing = Math.max(0, this.outgoing - carried);
    this.updatedAt = now;
  }

  private timeOf(bytes: number): number {
    return (bytes / this.bytesPerSecond) * MS_PER_SECOND;
  }
}
