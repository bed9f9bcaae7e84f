/** A value with change events. */
import { Emitter, type Event } from '@marigoldbank/base/events';

/** Holds a value that is replaced as a whole by its one writer, and fires an event at each replacement. */
export class ObservableValue<T> {
  private readonly changeEmitter = new Emitter<T>();

  public readonly onDidChange: Event<T> = this.changeEmitter.event;

  private current: T;

  public constructor(initial: T) {
    this.current = initial;
  }

  public get value(): T {
    return this.current;
  }

  /** Replaces the value. Only the writer of the value may call this. */
  public set(value: T): void {
    this.current = value;
    this.changeEmitter.fire(value);
  }
}
