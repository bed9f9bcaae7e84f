/** Waiting requests of one team, in order of arrival. */
import type { IDisposable } from '@marigoldbank/base/lifecycle';
import type { AdmissionOutcome, Permit } from './types.js';

/** One waiting request. */
export interface Waiter<T extends Permit, R> {
  readonly req: R;
  readonly enqueuedAt: number;
  readonly deadlineAt: number;
  readonly list: WaitList<T, R>;
  readonly onOutcome: (outcome: AdmissionOutcome<T>) => void;
  /** Deadline timer and abort listener. */
  cleanup: IDisposable | undefined;
  previous: Waiter<T, R> | undefined;
  next: Waiter<T, R> | undefined;
}

/** Doubly linked, so that a request that is cancelled or times out is removed in constant time. */
export class WaitList<T extends Permit, R> {
  private head: Waiter<T, R> | undefined;

  private tail: Waiter<T, R> | undefined;

  private count = 0;

  private startTagValue = 0;

  private heapIndexValue = -1;

  public constructor(
    public readonly team: string,
    /** Number in order of creation, which breaks ties between equal start tags. */
    public readonly order: number,
  ) {}

  public get length(): number {
    return this.count;
  }

  public get first(): Waiter<T, R> | undefined {
    return this.head;
  }

  public get last(): Waiter<T, R> | undefined {
    return this.tail;
  }

  /** Start tag of the first waiting request, in virtual time. */
  public get startTag(): number {
    return this.startTagValue;
  }

  public setStartTag(tag: number): void {
    this.startTagValue = tag;
  }

  /** Index in the heap, or -1 if the list is not in it. */
  public get heapIndex(): number {
    return this.heapIndexValue;
  }

  public setHeapIndex(index: number): void {
    this.heapIndexValue = index;
  }

  public push(waiter: Waiter<T, R>): void {
    const { tail } = this;
    Object.assign(waiter, { previous: tail, next: undefined });
    if (tail === undefined) this.head = waiter;
    else tail.next = waiter;
    this.tail = waiter;
    this.count += 1;
  }

  public remove(waiter: Waiter<T, R>): void {
    const { previous, next } = waiter;
    if (previous === undefined) this.head = next;
    else previous.next = next;
    if (next === undefined) this.tail = previous;
    else next.previous = previous;
    Object.assign(waiter, { previous: undefined, next: undefined });
    this.count -= 1;
  }
}
