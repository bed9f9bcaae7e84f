/** Virtual time for tests and experiments. */
import type { Clock } from './clock.js';
import { toDisposable, type IDisposable } from './lifecycle.js';

interface ScheduledTimer {
  readonly at: number;
  readonly order: number;
  readonly fn: () => void;
  isCancelled: boolean;
}

function isEarlier(a: ScheduledTimer, b: ScheduledTimer): boolean {
  return a.at < b.at || (a.at === b.at && a.order < b.order);
}

/** A clock that advances only on request. Timers that are due at the same time fire in the order they were set. */
export class VirtualClock implements Clock {
  private currentMs = 0;

  private order = 0;

  /** Binary heap, earliest first. */
  private readonly heap: ScheduledTimer[] = [];

  public now(): number {
    return this.currentMs;
  }

  public setTimeout(fn: () => void, delayMs: number): IDisposable {
    this.order += 1;
    const at = this.currentMs + Math.max(0, delayMs);
    const timer: ScheduledTimer = { at, order: this.order, fn, isCancelled: false };
    this.push(timer);
    return toDisposable(() => {
      timer.isCancelled = true;
    });
  }

  /** Fires every timer due within `durationMs`, synchronously, and moves time to the end of it. */
  public advance(durationMs: number): void {
    const end = this.currentMs + durationMs;
    while (this.fireNext(end));
    this.currentMs = end;
  }

  /** As `advance`, but lets pending promises settle after each timer. */
  public async advanceAsync(durationMs: number): Promise<void> {
    const end = this.currentMs + durationMs;
    await VirtualClock.settle();
    while (this.fireNext(end)) {
      await VirtualClock.settle();
    }
    this.currentMs = end;
  }

  /** Lets all promise callbacks that are ready run. */
  public static settle(): Promise<void> {
    return new Promise((resolve) => {
      setImmediate(resolve);
    });
  }

  private fireNext(end: number): boolean {
    const next = this.heap[0];
    if (next === undefined || next.at > end) return false;
    this.pop();
    if (next.isCancelled) return true;
    this.currentMs = next.at;
    next.fn();
    return true;
  }

  private push(timer: ScheduledTimer): void {
    const { heap } = this;
    let i = heap.push(timer) - 1;
    while (i > 0) {
      const parent = Math.floor((i - 1) / 2);
      if (!isEarlier(timer, heap[parent]!)) break;
      heap[i] = heap[parent]!;
      i = parent;
    }
    heap[i] = timer;
  }

  private pop(): void {
    const { heap } = this;
    const last = heap.pop()!;
    if (heap.length === 0) return;
    let i = 0;
    for (;;) {
      let child = 2 * i + 1;
      if (child >= heap.length) break;
      if (child + 1 < heap.length && isEarlier(heap[child + 1]!, heap[child]!)) child += 1;
      if (!isEarlier(heap[child]!, last)) break;
      heap[i] = heap[child]!;
      i = child;
    }
    heap[i] = last;
  }
}
