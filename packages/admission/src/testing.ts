/** FIFO queue as a baseline to compare the fair queue with. */
import type { Clock } from '@marigoldbank/base/clock';
import { toDisposable, type IDisposable } from '@marigoldbank/base/lifecycle';
import type { AcquireRequest, AdmissionOutcome, IFairQueue, Permit } from './types.js';

interface FifoWaiter<T extends Permit, R> {
  readonly req: R;
  readonly enqueuedAt: number;
  readonly onOutcome: (outcome: AdmissionOutcome<T>) => void;
  isSettled: boolean;
}

export interface FifoQueueOptions<T extends Permit, R extends AcquireRequest = AcquireRequest> {
  readonly clock: Clock;
  readonly tryAcquire: (req: R) => T | undefined;
  readonly maxWaiting: number;
}

/** One queue in order of arrival for all teams. New requests are refused while it is full. */
export class FifoQueue<
  T extends Permit,
  R extends AcquireRequest = AcquireRequest,
> implements IFairQueue<T, R> {
  private waiters: FifoWaiter<T, R>[] = [];

  private isServing = false;

  public constructor(private readonly options: FifoQueueOptions<T, R>) {}

  public acquire(req: R): Promise<AdmissionOutcome<T>> {
    return new Promise((resolve) => {
      this.enqueue(req, resolve);
    });
  }

  public enqueue(req: R, onOutcome: (outcome: AdmissionOutcome<T>) => void): IDisposable {
    if (this.waiters.length >= this.options.maxWaiting) {
      onOutcome({ kind: 'queueFull' });
      return toDisposable(() => undefined);
    }
    const since = this.options.clock.now();
    const waiter: FifoWaiter<T, R> = { req, enqueuedAt: since, onOutcome, isSettled: false };
    this.waiters.push(waiter);
    const timer = this.options.clock.setTimeout(
      () => this.settle(waiter, { kind: 'timedOut' }),
      Math.max(0, req.deadlineAt - since),
    );
    this.wake();
    return toDisposable(() => {
      timer.dispose();
      this.settle(waiter, { kind: 'cancelled' });
    });
  }

  public wake(): void {
    if (this.isServing) return;
    this.isServing = true;
    while (this.serveFirst());
    this.isServing = false;
  }

  public get waiting(): number {
    return this.waiters.length;
  }

  public dispose(): void {
    [...this.waiters].forEach((waiter) => this.settle(waiter, { kind: 'cancelled' }));
  }

  private serveFirst(): boolean {
    const waiter = this.waiters[0];
    const permit = waiter && this.options.tryAcquire(waiter.req);
    if (waiter === undefined || permit === undefined) return false;
    const waitedMs = this.options.clock.now() - waiter.enqueuedAt;
    this.settle(waiter, { kind: 'admitted', permit, waitedMs });
    return true;
  }

  private settle(waiter: FifoWaiter<T, R>, outcome: AdmissionOutcome<T>): void {
    if (waiter.isSettled) return;
    Object.assign(waiter, { isSettled: true });
    this.waiters = this.waiters.filter((other) => other !== waiter);
    waiter.onOutcome(outcome);
  }
}
