/** Linearizable reads: a read is confirmed once a majority acknowledges a message sent after it was requested. */
import type { Member, ReadOutcome } from './types.js';

interface PendingRead {
  /** Messages with a higher number were sent after the read was requested. */
  readonly afterSequence: number;
  readonly index: number;
  /** Whether messages are sent for the read; others wait for the next heartbeats. */
  readonly isUrgent: boolean;
  readonly acknowledgedBy: Set<Member>;
  resolve(outcome: ReadOutcome): void;
}

/** Reads that wait for acknowledgements. */
export class PendingReads {
  private pending: PendingRead[] = [];

  public constructor(
    private readonly self: Member,
    private readonly isConfirmed: (acknowledgedBy: readonly Member[]) => boolean,
  ) {}

  /** Waits until a majority acknowledged a message numbered above `afterSequence`. */
  public add(afterSequence: number, index: number, isUrgent: boolean): Promise<ReadOutcome> {
    return new Promise((resolve) => {
      const acknowledgedBy = new Set([this.self]);
      this.pending.push({ afterSequence, index, isUrgent, acknowledgedBy, resolve });
      this.settle();
    });
  }

  public get hasUrgent(): boolean {
    return this.pending.some(({ isUrgent }) => isUrgent);
  }

  /** Counts an acknowledgement; returns whether it confirmed any read. */
  public acknowledge(member: Member, sequence: number): boolean {
    if (this.pending.length === 0) return false;
    this.pending
      .filter((read) => sequence > read.afterSequence)
      .forEach((read) => read.acknowledgedBy.add(member));
    return this.settle();
  }

  /** Answers every waiting read with `notLeader`. */
  public abandon(): void {
    const reads = this.pending;
    this.pending = [];
    reads.forEach((read) => read.resolve({ kind: 'notLeader', leader: undefined }));
  }

  private settle(): boolean {
    const isDone = (read: PendingRead): boolean => this.isConfirmed([...read.acknowledgedBy]);
    const done = this.pending.filter(isDone);
    if (done.length === 0) return false;
    this.pending = this.pending.filter((read) => !done.includes(read));
    done.forEach((read) => read.resolve({ kind: 'confirmed', index: read.index }));
    return true;
  }
}
