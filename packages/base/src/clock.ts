/** Time as an interface, so that tests run time-dependent code on virtual time. */
import { toDisposable, type IDisposable } from './lifecycle.js';

/** Monotonic time and timers. */
export interface Clock {
  /** Monotonic time in milliseconds. Only differences are meaningful. */
  now(): number;
  /** Calls `fn` once after `delayMs`. Disposing cancels it. */
  setTimeout(fn: () => void, delayMs: number): IDisposable;
}

/** The process's monotonic clock. */
export class SystemClock implements Clock {
  public now(): number {
    return performance.now();
  }

  public setTimeout(fn: () => void, delayMs: number): IDisposable {
    const handle = setTimeout(fn, delayMs);
    return toDisposable(() => clearTimeout(handle));
  }
}

/** Calls `fn` every `periodMs`, the first time after one period, until disposed. */
export function setPeriodic(clock: Clock, fn: () => void, periodMs: number): IDisposable {
  let timer: IDisposable | undefined;
  let isDisposed = false;
  const schedule = (): void => {
    timer = clock.setTimeout(() => {
      fn();
      if (!isDisposed) schedule();
    }, periodMs);
  };
  schedule();
  return toDisposable(() => {
    isDisposed = true;
    timer?.dispose();
  });
}

/** Resolves after `delayMs` on the clock. */
export function delay(clock: Clock, delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    clock.setTimeout(resolve, delayMs);
  });
}
