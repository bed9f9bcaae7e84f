/** Lifetimes: disposables and stores of disposables. */

/** Something that holds resources until it is disposed. */
export interface IDisposable {
  dispose(): void;
}

/** Makes a disposable from a function. The function runs at most once. */
export function toDisposable(fn: () => void): IDisposable {
  let isDisposed = false;
  return {
    dispose: () => {
      if (isDisposed) return;
      isDisposed = true;
      fn();
    },
  };
}

/** Collects disposables and disposes them together, last added first. */
export class DisposableStore implements IDisposable {
  private readonly items: IDisposable[] = [];

  private hasBeenDisposed = false;

  public get isDisposed(): boolean {
    return this.hasBeenDisposed;
  }

  /** Adds an item and returns it. An item added after disposal is disposed at once. */
  public add<T extends IDisposable>(item: T): T {
    if (this.hasBeenDisposed) {
      item.dispose();
    } else {
      this.items.push(item);
    }
    return item;
  }

  public dispose(): void {
    if (this.hasBeenDisposed) return;
    this.hasBeenDisposed = true;
    this.items.reverse().forEach((item) => item.dispose());
    this.items.length = 0;
  }
}
