/** Typed events. */
import { toDisposable, type IDisposable } from './lifecycle.js';

/** Subscribes a listener; disposing the result unsubscribes it. */
export type Event<T> = (listener: (value: T) => void) => IDisposable;

/** Source of one event. */
export class Emitter<T> implements IDisposable {
  private readonly listeners = new Set<(value: T) => void>();

  public readonly event: Event<T> = (listener) => {
    this.listeners.add(listener);
    return toDisposable(() => this.listeners.delete(listener));
  };

  /** Calls every listener subscribed at this moment. */
  public fire(value: T): void {
    [...this.listeners].forEach((listener) => listener(value));
  }

  public dispose(): void {
    this.listeners.clear();
  }
}
